import http2 from 'node:http2';
import type { Transport } from '@connectrpc/connect';
import type { UniversalClientFn } from '@connectrpc/connect/protocol';
import { createTransport } from '@connectrpc/connect/protocol-grpc';
import type { PeerSession } from './peerSession';
import { ReceivedBytes, sendBytes } from './streamBytes';
import { toHeaders } from './streamHeaders';

type Request = Parameters<UniversalClientFn>[0];
type Response = Awaited<ReturnType<UniversalClientFn>>;

/** Maximum size of a message in gRPC. */
const MAXIMUM_MESSAGE_BYTES = 0xffffffff;

/** Largest message of a server that is read, checked before it is received: a reply may hold a chain of
 * turns of 1 MB each. */
const MAXIMUM_RECEIVED_BYTES = 64 * 1024 * 1024;

/** Options of `createPeerTransport`. */
export interface PeerTransportOptions {
  /** URL of the peer without a path. */
  baseUrl: string;
  session: PeerSession;
}

/** Returns a transport for the stream of a session. */
export function createPeerTransport({ baseUrl, session }: PeerTransportOptions): Transport {
  return createTransport({
    baseUrl,
    httpClient: (request) => sendRequest(session, request),
    useBinaryFormat: true,
    interceptors: [],
    // Messages are a few kilobytes and links are fast, so compression costs more than it saves.
    acceptCompression: [],
    sendCompression: null,
    compressMinBytes: MAXIMUM_MESSAGE_BYTES,
    readMaxBytes: MAXIMUM_RECEIVED_BYTES,
    writeMaxBytes: MAXIMUM_MESSAGE_BYTES,
  });
}

async function sendRequest(
  session: PeerSession,
  { url, method, header, body, signal }: Request,
): Promise<Response> {
  const stream = await session.request(method, new URL(url).pathname, Object.fromEntries(header));
  const received = new ReceivedBytes(stream);
  const cancel = () => stream.close(http2.constants.NGHTTP2_CANCEL);
  if (signal?.aborted) cancel();
  signal?.addEventListener('abort', cancel, { once: true });
  const trailer = new Headers();
  stream.on('trailers', (fields) => {
    toHeaders(fields).forEach((value, name) => trailer.append(name, value));
  });
  if (body) sendBytes(stream, body).then(() => stream.end(), cancel);
  else stream.end();
  const fields = await responseOf(stream);
  return { status: fields[':status'] ?? 0, header: toHeaders(fields), body: received, trailer };
}

function responseOf(
  stream: http2.ClientHttp2Stream,
): Promise<http2.IncomingHttpHeaders & http2.IncomingHttpStatusHeader> {
  return new Promise((resolve, reject) => {
    stream.once('response', resolve);
    stream.once('error', reject);
    stream.once('close', () => {
      reject(new Error(`the stream was closed with HTTP/2 code ${stream.rstCode}`));
    });
  });
}
