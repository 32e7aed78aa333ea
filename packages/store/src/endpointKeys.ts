/** Prefix of the endpoints' keys in the platform's store; agents write them, entries read them. */
export const ENDPOINT_PREFIX = 'endpoints/';
