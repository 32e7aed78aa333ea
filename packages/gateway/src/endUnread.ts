import type http from 'node:http';

/** Time for which the rest of a body is read and dropped after its request has been answered. */
const REST_TIMEOUT_MS = 1_000;

/**
 * Sends the body of an answer whose headers have been written, and ends its connection once the rest of
 * the request has been read: a connection that is closed with unread bytes is reset, which can take the
 * answer away from a caller that is still sending.
 */
export function endUnread(
  message: http.IncomingMessage,
  response: http.ServerResponse,
  body: Buffer,
): void {
  response.write(body);
  const timer = setTimeout(() => response.end(), REST_TIMEOUT_MS);
  const end = () => {
    clearTimeout(timer);
    response.end();
  };
  message.once('end', end).once('close', end).resume();
}
