import * as namespace from 'ts-results';

// Node offers this CommonJS library as a default export, bundlers by its names.
const library = (namespace as unknown as { default?: typeof namespace }).default ?? namespace;

/** Makes and recognises results; the library is `ts-results`. */
export const { Ok, Err } = library;

export type { Result } from 'ts-results';
