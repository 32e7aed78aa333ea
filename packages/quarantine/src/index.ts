/** Requests that crash the endpoints that run them: identity, evidence, and refusal. */
export * from './inputDigest';
