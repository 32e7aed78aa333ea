import type { ProblemDetails, TurnAnswer } from '@marjorampin/entry';
import { Agent, request } from 'undici';

const RETRY_LIMIT = 60;
const LONGEST_PAUSE_MS = 2_000;

/** Problems that a repeated call can get over; the same call never runs twice. */
const RETRIED_TITLES = [
  'owner-unavailable',
  'not-owner',
  'stale-epoch',
  'connection-lost',
  'leaving',
];

/** A call that was answered with a problem. */
export class ProblemError extends Error {
  readonly problem: ProblemDetails;

  constructor({ problem }: { problem: ProblemDetails }) {
    super(problem.detail);
    this.name = 'ProblemError';
    this.problem = problem;
  }
}

/** How to reach the entries. */
export interface CallerClientOptions {
  /** URLs of the entries, tried in turn. */
  urls: string[];
  key: string;
  /** Goes to the next entry with every call, as behind a balancer without affinity. */
  rotates?: boolean;
}

/** What one answer took. */
export interface TimedAnswer {
  answer: TurnAnswer;
  firstTextMs: number;
  totalMs: number;
  retries: number;
}

/** Sends calls to the entries and goes to another one when a connection breaks. */
export class CallerClient {
  private urls: string[];

  private readonly key: string;

  private readonly rotates: boolean;

  private readonly dispatcher = new Agent({ connections: 512, headersTimeout: 0, bodyTimeout: 0 });

  private next = 0;

  constructor({ urls, key, rotates = false }: CallerClientOptions) {
    this.urls = urls;
    this.key = key;
    this.rotates = rotates;
  }

  /** Replaces the entries, as a balancer does. */
  setUrls(urls: string[]): void {
    this.urls = urls;
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.dispatcher.destroy();
  }

  /** Sends a call and returns its answer; throws `ProblemError`. */
  async call(path: string, body: object): Promise<TimedAnswer> {
    if (this.rotates) this.next += 1;
    const startedMs = performance.now();
    for (let retries = 0; ; retries += 1) {
      try {
        const { answer, firstTextMs } = await this.send(path, body, startedMs);
        return { answer, firstTextMs, totalMs: performance.now() - startedMs, retries };
      } catch (error) {
        const pauseMs = pauseAfter(error);
        if (pauseMs === undefined || retries >= RETRY_LIMIT) throw error;
        this.next += 1;
        await new Promise((resolve) => {
          setTimeout(resolve, pauseMs);
        });
      }
    }
  }

  private async send(path: string, body: object, startedMs: number) {
    const url = this.urls[this.next % this.urls.length] ?? '';
    const response = await request(`${url}${path}`, {
      method: 'POST',
      dispatcher: this.dispatcher,
      headers: { authorization: `Bearer ${this.key}`, 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
    const type = String(response.headers['content-type']);
    if (type.startsWith('text/event-stream')) return readStream(response.body, startedMs);
    const json: unknown = await response.body.json();
    if (response.statusCode !== 200) throw new ProblemError({ problem: json as ProblemDetails });
    return { answer: json as TurnAnswer, firstTextMs: performance.now() - startedMs };
  }
}

async function readStream(chunks: AsyncIterable<Buffer>, startedMs: number) {
  const decoder = new TextDecoder();
  let rest = '';
  let firstTextMs = 0;
  for await (const chunk of chunks) {
    rest += decoder.decode(chunk, { stream: true });
    const events = rest.split('\n\n');
    rest = events.pop() ?? '';
    for (const event of events) {
      const [head = '', data = ''] = event.split('\ndata: ');
      if (firstTextMs === 0) firstTextMs = performance.now() - startedMs;
      if (head === 'event: answer') return { answer: JSON.parse(data) as TurnAnswer, firstTextMs };
      if (head === 'event: problem') throw new ProblemError({ problem: JSON.parse(data) });
    }
  }
  throw new Error('the stream ended without an answer');
}

/** Returns how long to wait before the call is repeated; undefined when it is not. */
function pauseAfter(error: unknown): number | undefined {
  if (!(error instanceof ProblemError)) return 50;
  const { title, retryAfterMs } = error.problem;
  if (!RETRIED_TITLES.includes(title)) return undefined;
  return Math.min(Math.max(retryAfterMs, 50), LONGEST_PAUSE_MS);
}
