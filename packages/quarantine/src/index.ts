/** Requests that crash the endpoints that run them: identity, evidence, and refusal. */
export * from './crashEvidence';
export * from './inputDigest';
export * from './quarantine';
export * from './quarantineRecord';
