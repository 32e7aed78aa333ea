/* eslint-disable @stylistic/max-len, no-await-in-loop -- Relaxed for the sources of the repository as well, or left to prettier. */
/** Stand-in for a runner: a model runner for streams, a plain service for other requests. */
import type http from 'node:http';
import type { Record } from './record';
import { readBody, sleep, Standin } from './standin';

/** Settings of a runner. */
export interface RunnerOptions {
  id: string;
  service: string;
  zone: string;
  slots: number;
  record: Record;
  /** Time between two events of a stream, and before the first one. */
  eventMs?: number;
}

/** Tokens of one event, as the configuration states them. */
export const EVENT_TOKENS = 10;
/** Header by which a client of these tests tells how much work its request is, in milliseconds. */
export const WORK_HEADER = 'x-work-ms';
const DEFAULT_EVENT_MS = 15;

/** Returns the data of one event of a turn. */
export function eventData(request: string, index: number): string {
  return `${request} says ${index}`;
}

/** A request that a runner ran. */
export interface Run {
  request: string;
  runner: string;
  body: string;
}

/** Runs requests, and tells which. */
export class RunnerStandin extends Standin {
  readonly options: RunnerOptions;

  readonly runs: Run[] = [];

  private running = 0;

  constructor(options: RunnerOptions) {
    super();
    this.options = options;
  }

  /** Number of requests that it works on. */
  get busy(): number {
    return this.running;
  }

  protected override async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const { id, slots, record } = this.options;
    const body = await readBody(request);
    const headerOf = (name: string) => String(request.headers[name] ?? '');
    const name = headerOf('marjorampin-request-id');
    const load = { 'Marjorampin-Server-Load': `${this.running},0,${slots}` };
    if (request.url === '/health') {
      response.writeHead(200, { 'Marjorampin-Instance-Id': id, ...load }).end();
      return;
    }
    const expected = headerOf('marjorampin-expect-instance');
    if (expected !== '' && expected !== id) {
      response.writeHead(421, { 'Marjorampin-Instance-Id': id }).end();
      return;
    }
    if (name === '' || this.running >= slots) {
      response
        .writeHead(name === '' ? 400 : 503, { 'Marjorampin-Not-Executed': '1', ...load })
        .end();
      return;
    }
    this.runs.push({ request: name, runner: id, body });
    this.running += 1;
    record.write(`runner ${id} runs ${name} (${request.method} ${request.url})`);
    const headers = {
      'Marjorampin-Request-Id': name,
      'Marjorampin-Response-Seal': `seal.${id}.${name}`,
      ...load,
    };
    try {
      const tokens = headerOf('marjorampin-token-count');
      if (tokens === '') await this.runPlain(request, response, headers, name);
      else await this.runStream(response, headers, name, Number(tokens.split(',')[1]), request);
    } finally {
      this.running -= 1;
    }
  }

  private async runPlain(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    headers: http.OutgoingHttpHeaders,
    name: string,
  ): Promise<void> {
    const budgetMs = Number(request.headers['marjorampin-deadline-ms'] ?? Infinity);
    const workMs = Number(request.headers[WORK_HEADER] ?? 25);
    await sleep(Math.min(workMs, budgetMs));
    if (response.destroyed) return;
    const isInTime = workMs <= budgetMs;
    response.writeHead(isInTime ? 200 : 504, headers).end(isInTime ? `done ${name}` : '');
    this.options.record.write(`runner ${this.options.id} ended ${name}`);
  }

  private async runStream(
    response: http.ServerResponse,
    headers: http.OutgoingHttpHeaders,
    name: string,
    maximumTokens: number,
    request: http.IncomingMessage,
  ): Promise<void> {
    const workMs = Number(request.headers[WORK_HEADER] ?? 0);
    const events = Math.max(1, Math.floor(maximumTokens / EVENT_TOKENS));
    const eventMs = workMs > 0 ? workMs / events : (this.options.eventMs ?? DEFAULT_EVENT_MS);
    await sleep(eventMs);
    if (response.destroyed) return;
    response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
    for (let index = 0; index < events; index += 1) {
      if (index > 0) await sleep(eventMs);
      if (response.destroyed) return;
      response.write(`id: ${index + 1}\ndata: ${eventData(name, index)}\n\n`);
    }
    response.end();
    this.options.record.write(`runner ${this.options.id} ended ${name}`);
  }
}
