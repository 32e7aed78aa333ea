import { Agent } from 'undici';

/** Limit of concurrent calls to one endpoint. */
const MAXIMUM_CONNECTIONS = 256;

/**
 * Creates the connections of an endpoint, a new one for each call: answers carry no id, so a late copy
 * of one could be taken for the answer of the next call on its connection.
 */
export function createDispatcher(): Agent {
  return new Agent({
    connections: MAXIMUM_CONNECTIONS,
    pipelining: 0,
    // Calls have their own timeouts.
    bodyTimeout: 0,
    headersTimeout: 0,
  });
}
