/** What all bundles share. */
export const bundleOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // The module builds come first: the others ask for helpers at run time.
  mainFields: ['module', 'main'],
  external: ['dtrace-provider', 'mv', 'source-map-support'],
  logLevel: 'warning',
};
