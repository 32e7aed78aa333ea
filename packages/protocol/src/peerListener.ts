import http2 from 'node:http2';
import { createConnectRouter } from '@connectrpc/connect';
import type { UniversalHandlerFn, UniversalServerResponse } from '@connectrpc/connect/protocol';
import type { ByteAccount } from '@marjorampin/http';
import { type Batch, Peer } from './gen/peer_pb';
import { MessageAssembly } from './messageAssembly';
import { WITHOUT_COMPRESSION } from './peerChannel';
import { ReceivedBytes, sendBytes } from './streamBytes';
import { toHeaders } from './streamHeaders';

/** Maximum size of a batch, checked before it is parsed. */
const MAXIMUM_BATCH_BYTES = 16 * 1024 * 1024;

/** Listener for the event `stream` of an HTTP/2 server. */
export type StreamListener = (
  stream: http2.ServerHttp2Stream,
  headers: http2.IncomingHttpHeaders,
) => void;

/** Returns a listener that serves the streams of peers with `exchange`; `held` counts their incomplete messages. */
export function createPeerListener(
  exchange: (batches: AsyncIterable<Batch>) => AsyncIterable<Batch>,
  held: ByteAccount,
): StreamListener {
  const { handlers } = createConnectRouter({
    readMaxBytes: MAXIMUM_BATCH_BYTES,
    ...WITHOUT_COMPRESSION,
  }).service(Peer, { exchange });
  const handlerByPath = new Map(handlers.map((handler) => [handler.requestPath, handler]));
  return (stream, headers) => {
    const handler = handlerByPath.get(headers[':path'] ?? '');
    if (!handler) {
      refuse(stream);
      return;
    }
    const assembly = new MessageAssembly({
      maximumBytes: MAXIMUM_BATCH_BYTES,
      held,
      breakOff: (error) => stream.session?.destroy(error),
    });
    const body = new ReceivedBytes(stream, assembly);
    serve(stream, { headers, body, handle: handler }).catch(() => {
      stream.close(http2.constants.NGHTTP2_INTERNAL_ERROR);
    });
  };
}

/** Answers a stream that no handler serves, and reads nothing of it. */
function refuse(stream: http2.ServerHttp2Stream): void {
  stream.on('error', () => undefined);
  stream.respond({ ':status': 404 }, { endStream: true });
  stream.close(http2.constants.NGHTTP2_NO_ERROR);
}

async function serve(
  stream: http2.ServerHttp2Stream,
  {
    headers,
    body,
    handle,
  }: { headers: http2.IncomingHttpHeaders; body: ReceivedBytes; handle: UniversalHandlerFn },
): Promise<void> {
  const controller = new AbortController();
  stream.once('close', () => controller.abort());
  const response = await handle({
    httpVersion: '2.0',
    method: headers[':method'] ?? '',
    url: `http://${headers[':authority']}${headers[':path']}`,
    header: toHeaders(headers),
    body,
    signal: controller.signal,
  });
  await respond(stream, response);
}

async function respond(
  stream: http2.ServerHttp2Stream,
  { status, header = new Headers(), body, trailer = new Headers() }: UniversalServerResponse,
): Promise<void> {
  const fields = { ':status': status, ...Object.fromEntries(header) };
  if (!body) {
    stream.respond(fields, { endStream: true });
    return;
  }
  stream.once('wantTrailers', () => stream.sendTrailers(Object.fromEntries(trailer)));
  stream.respond(fields, { waitForTrailers: true });
  await sendBytes(stream, body);
  stream.end();
}
