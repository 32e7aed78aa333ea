import type http2 from 'node:http2';

/** Bytes that a peer may send before it has to wait until they are read: several of the largest messages.
 * With the default of 64 KiB, a large message waits for the event loops of both ends 16 times a megabyte. */
const WINDOW_BYTES = 4 * 1024 * 1024;

/** HTTP/2 settings for the streams of peers. */
export const STREAM_SETTINGS: http2.Settings = { initialWindowSize: WINDOW_BYTES };

/** Widens the window of a session, which all its streams share, to that of its stream. */
export function widenWindow(session: http2.Http2Session): void {
  // A client reports a connection even if the session has been destroyed meanwhile.
  if (session.destroyed) return;
  session.setLocalWindowSize(WINDOW_BYTES);
}
