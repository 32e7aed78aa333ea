/** esbuild options shared by all bundles. */
export const bundleOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Prefers ES module builds: the others load helpers with require() at run time.
  mainFields: ['module', 'main'],
  external: ['dtrace-provider', 'mv', 'source-map-support'],
  logLevel: 'warning',
};
