/** Builds `target/marjorampin.cjs`, the bundle that runs on the hosts of the platform. */
import { build } from 'esbuild';
import { bundleOptions } from './bundleOptions.mjs';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/marjorampin.cjs',
  ...bundleOptions,
});
