/** Builds the single executable `dist/marjorampin`. */
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';
import { bundleOptions } from './bundleOptions.mjs';

const SENTINEL = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const BUNDLE = 'dist/marjorampin.cjs';
const BLOB = 'dist/marjorampin.blob';
const BINARY = 'dist/marjorampin';

mkdirSync('dist', { recursive: true });
await build({
  entryPoints: ['packages/cli/src/main.ts'],
  outfile: BUNDLE,
  ...bundleOptions,
  // Node warns at the first require() in a single executable, before any bundled module runs.
  banner: { js: "process.removeAllListeners('warning');" },
});
writeFileSync(
  'dist/sea.json',
  JSON.stringify({ main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true }),
);
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], {
  stdio: 'inherit',
});
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
execFileSync(
  process.execPath,
  ['node_modules/postject/dist/cli.js', BINARY, 'NODE_SEA_BLOB', BLOB, '--sentinel-fuse', SENTINEL],
  { stdio: 'inherit' },
);
console.log(`built ${BINARY}`);
