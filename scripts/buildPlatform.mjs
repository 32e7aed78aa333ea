/** Builds the bundle that hosts of the platform run: `target/marjorampin.cjs`. */
import { build } from 'esbuild';
import { bundleOptions } from './bundleOptions.mjs';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/marjorampin.cjs',
  ...bundleOptions,
});
