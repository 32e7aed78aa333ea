import * as namespace from 'ts-results';

// Node exposes this CommonJS library as a default export, bundlers as named exports.
const library = (namespace as unknown as { default?: typeof namespace }).default ?? namespace;

/** Constructors of `Result`, from the library `ts-results`. */
export const { Ok, Err } = library;

export type { Result } from 'ts-results';
