import type { ProblemDetails, TurnAnswer } from '@marjorampin/entry';
import { Agent, request } from 'undici';

const MAXIMUM_RETRIES = 60;
const MINIMUM_RETRY_DELAY_MS = 50;
const MAXIMUM_RETRY_DELAY_MS = 2_000;

/**
 * Titles of problems after which a call is retried. Entries run an at-most-once call at most once,
 * so the retry is safe.
 */
const RETRYABLE_TITLES = [
  'owner-unavailable',
  'not-owner',
  'stale-epoch',
  'connection-lost',
  'leaving',
];

/** Thrown when an entry answers a call with problem details. */
export class ProblemError extends Error {
  readonly problem: ProblemDetails;

  constructor({ problem }: { problem: ProblemDetails }) {
    super(problem.detail);
    this.name = 'ProblemError';
    this.problem = problem;
  }
}

/** Options of `CallerClient`. */
export interface CallerClientOptions {
  /** Base URLs of the entries; a retry uses the next one. */
  urls: string[];
  /** Customer key, sent as the bearer token. */
  key: string;
  /** Sends each call to the next entry, as a load balancer without affinity does. */
  rotatesEntries?: boolean;
}

/** An answer and the time that it took, retries included. */
export interface TimedAnswer {
  answer: TurnAnswer;
  /** Time to the first event of a streamed answer, or to the complete answer if not streamed. */
  firstTextMs: number;
  /** Time to the complete answer. */
  totalMs: number;
  /** Number of failed attempts before the answer. */
  retries: number;
}

/** Sends calls to the entries and retries failed ones at the next entry. */
export class CallerClient {
  private urls: string[];

  private readonly key: string;

  private readonly rotatesEntries: boolean;

  private readonly dispatcher = new Agent({ connections: 512, headersTimeout: 0, bodyTimeout: 0 });

  /** Index of the entry in use, modulo the number of URLs. */
  private entryIndex = 0;

  constructor({ urls, key, rotatesEntries = false }: CallerClientOptions) {
    this.urls = urls;
    this.key = key;
    this.rotatesEntries = rotatesEntries;
  }

  /** Replaces the URLs of the entries, as a load balancer does when its targets change. */
  setUrls(urls: string[]): void {
    this.urls = urls;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.dispatcher.destroy();
  }

  /**
   * Sends a call and returns its answer, after retries where these are safe. Throws `ProblemError`,
   * or the last connection error after `MAXIMUM_RETRIES` retries.
   */
  async call(path: string, body: object): Promise<TimedAnswer> {
    if (this.rotatesEntries) this.entryIndex += 1;
    const startedMs = performance.now();
    for (let retries = 0; ; retries += 1) {
      try {
        const { answer, firstTextMs } = await this.send(path, body, startedMs);
        return { answer, firstTextMs, totalMs: performance.now() - startedMs, retries };
      } catch (error) {
        const delayMs = retryDelayMs(error);
        if (delayMs === undefined || retries >= MAXIMUM_RETRIES) throw error;
        this.entryIndex += 1;
        await new Promise((resolve) => {
          setTimeout(resolve, delayMs);
        });
      }
    }
  }

  private async send(path: string, body: object, startedMs: number) {
    const url = this.urls[this.entryIndex % this.urls.length] ?? '';
    const response = await request(`${url}${path}`, {
      method: 'POST',
      dispatcher: this.dispatcher,
      headers: { authorization: `Bearer ${this.key}`, 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
    const contentType = String(response.headers['content-type']);
    if (contentType.startsWith('text/event-stream')) return readEvents(response.body, startedMs);
    const json: unknown = await response.body.json();
    if (response.statusCode !== 200) throw new ProblemError({ problem: json as ProblemDetails });
    return { answer: json as TurnAnswer, firstTextMs: performance.now() - startedMs };
  }
}

async function readEvents(chunks: AsyncIterable<Buffer>, startedMs: number) {
  const decoder = new TextDecoder();
  let buffered = '';
  let firstTextMs = 0;
  for await (const chunk of chunks) {
    buffered += decoder.decode(chunk, { stream: true });
    const events = buffered.split('\n\n');
    buffered = events.pop() ?? '';
    for (const event of events) {
      const [line = '', data = ''] = event.split('\ndata: ');
      if (firstTextMs === 0) firstTextMs = performance.now() - startedMs;
      if (line === 'event: answer') return { answer: JSON.parse(data) as TurnAnswer, firstTextMs };
      if (line === 'event: problem') throw new ProblemError({ problem: JSON.parse(data) });
    }
  }
  throw new Error('the stream ended without an answer');
}

/** Returns the delay before a failed call is retried, or undefined when it is not retried. */
function retryDelayMs(error: unknown): number | undefined {
  if (!(error instanceof ProblemError)) return MINIMUM_RETRY_DELAY_MS;
  const { title, retryAfterMs } = error.problem;
  if (!RETRYABLE_TITLES.includes(title)) return undefined;
  return Math.min(Math.max(retryAfterMs, MINIMUM_RETRY_DELAY_MS), MAXIMUM_RETRY_DELAY_MS);
}
