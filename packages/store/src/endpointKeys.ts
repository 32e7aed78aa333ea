/** Key prefix of the endpoints in the platform's store; agents write these keys, entries read them. */
export const ENDPOINT_PREFIX = 'endpoints/';
