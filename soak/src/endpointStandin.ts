import type http from 'node:http';
import { HttpStandin } from '@marjorampin/standins';
import { headerValue } from '@marjorampin/gateway';
import { SystemClock } from '@marjorampin/types';
import { HEADERS } from '@marjorampin/platform';
import type { SoakRecord } from './soakRecord';

/** Events in a turn's stream, and the tokens that each event counts as. */
export const EVENTS_PER_TURN = 4;
export const TOKENS_PER_EVENT = 5;
/** Duration of a request whose path states none. */
const DEFAULT_DURATION_MS = 24;

const clock = new SystemClock();

/** Returns the milliseconds that a request takes: the last part of its path, if that is a number. */
function durationOf(path = ''): number {
  const durationMs = Number(path.split('/').at(-1));
  return Number.isNaN(durationMs) ? DEFAULT_DURATION_MS : durationMs;
}

/** Returns the data of one event. It names the request, which reveals misdelivered events. */
export function eventData(request: string, index: number): string {
  return `${request} event ${index}`;
}

/** Returns the seal in the answer's header, by which the caller checks the answer's origin. */
export function sealOf(request: string): string {
  return `seal-${request}`;
}

/**
 * `silent` accepts requests and never replies, `failing` closes their connections, `cutting` sends
 * streams without length and chunks and closes every second one in order inside its last event.
 */
export type EndpointMode = 'serves' | 'silent' | 'failing' | 'cutting';

/** Stand-in for a model engine and a plain service; records the requests that it executes. */
export class EndpointStandin extends HttpStandin {
  readonly id: string;

  private mode: EndpointMode = 'serves';

  private unframedStreams = 0;

  private readonly record: SoakRecord;

  constructor(id: string, record: SoakRecord) {
    super();
    this.id = id;
    this.record = record;
  }

  /** Sets the mode; a request in progress observes it at its next event. */
  setMode(mode: EndpointMode): void {
    this.mode = mode;
  }

  protected override createListener(): http.RequestListener {
    return (request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    };
  }

  private async serve(request: http.IncomingMessage, response: http.ServerResponse) {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const id = String(headerValue(request.rawHeaders, HEADERS.requestId.toLowerCase()));
    const headers = { [HEADERS.requestId]: id, [HEADERS.seal]: sealOf(id) };
    if (headerValue(request.rawHeaders, HEADERS.expectedEndpoint.toLowerCase()) !== this.id) {
      response.writeHead(421, { ...headers, [HEADERS.notRun]: '1' }).end();
      return;
    }
    if (this.mode === 'silent') return;
    this.record.recordExecution(id, request.method ?? '', Buffer.concat(chunks).toString());
    if (this.mode === 'failing') {
      response.destroy();
      return;
    }
    const durationMs = durationOf(request.url);
    if (request.url?.startsWith('/turn/')) await this.stream(id, headers, response, durationMs);
    else {
      await clock.sleep(durationMs);
      response.writeHead(200, headers).end(`done ${id}`);
    }
  }

  private async stream(
    id: string,
    headers: object,
    response: http.ServerResponse,
    durationMs: number,
  ) {
    const isCut = this.mode === 'cutting' && this.beginUnframed(response);
    response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
    for (let index = 0; index < EVENTS_PER_TURN; index += 1) {
      await clock.sleep(durationMs / EVENTS_PER_TURN);
      if (this.mode === 'failing') response.destroy();
      if (response.destroyed) return;
      const event = `id: ${index}\ndata: ${eventData(id, index)}\n\n`;
      const isLast = index === EVENTS_PER_TURN - 1;
      response.write(isCut && isLast ? event.slice(0, event.length / 2) : event);
    }
    response.end();
  }

  /** Sends a response without length and chunks; returns whether to cut it. */
  private beginUnframed(response: http.ServerResponse): boolean {
    const unframed = response;
    unframed.shouldKeepAlive = false;
    unframed.useChunkedEncodingByDefault = false;
    this.unframedStreams += 1;
    return this.unframedStreams % 2 === 0;
  }
}
