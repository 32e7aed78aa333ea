/** Builds the bundle that hosts of the platform run: `target/marjorampin.cjs`. */
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/marjorampin.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
  external: ['dtrace-provider', 'mv', 'source-map-support'],
  logLevel: 'warning',
});
