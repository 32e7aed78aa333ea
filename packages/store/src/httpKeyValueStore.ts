import { Err, Ok, type Result } from '@marjorampin/types';
import { Agent } from 'undici';
import * as z from 'zod';
import {
  exchangeJson,
  refusedError,
  type StoreAnswer,
  type StoreRequest,
  unansweredError,
} from './exchangeJson';
import {
  type Changes,
  type CompareAndSwap,
  conflictError,
  KeyValueStore,
  type Snapshot,
  type StoredValue,
  type StoreError,
} from './keyValueStore';

const storedValue = z.object({ key: z.string(), value: z.string(), version: z.number() });
const snapshot = z.object({ revision: z.number(), values: z.array(storedValue) });
const changes = snapshot.extend({ removed: z.array(z.string()), complete: z.boolean() });
const written = z.object({ version: z.number() });

/** How to reach the platform's store. */
export interface HttpKeyValueStoreOptions {
  /** For example `http://127.0.0.1:7300`. */
  url: string;
  timeoutMs?: number;
}

/** Requests under way at once; an entry has at most one for each partition and program. */
const CONNECTIONS = 64;
/** A request takes a few milliseconds; a store that is slower than this is taken for down. */
const TIMEOUT_MS = 1_000;

/** The platform's key-value service over HTTP. */
export class HttpKeyValueStore extends KeyValueStore {
  private readonly url: string;

  private readonly timeoutMs: number;

  private readonly dispatcher: Agent;

  constructor({ url, timeoutMs = TIMEOUT_MS }: HttpKeyValueStoreOptions) {
    super();
    this.url = url.replace(/\/$/, '');
    this.timeoutMs = timeoutMs;
    this.dispatcher = new Agent({ connections: CONNECTIONS, pipelining: 1 });
  }

  override async get(key: string): Promise<Result<StoredValue | undefined, StoreError>> {
    const answer = await this.send('GET', `/kv/${encodeURIComponent(key)}`);
    if (answer.err) return answer;
    if (answer.val.status === 404) return Ok(undefined);
    return Ok(storedValue.parse(answer.val.body));
  }

  override async list(prefix: string): Promise<Result<Snapshot, StoreError>> {
    const answer = await this.send('GET', `/list?prefix=${encodeURIComponent(prefix)}`);
    return answer.map(({ body }) => snapshot.parse(body));
  }

  override async compareAndSwap(write: CompareAndSwap): Promise<Result<number, StoreError>> {
    const { key, value, expectedVersion } = write;
    const path = `/kv/${encodeURIComponent(key)}`;
    const answer = await this.send('PUT', path, { value, expectedVersion });
    return answer.map(({ body }) => written.parse(body).version);
  }

  override async remove(key: string, expectedVersion: number): Promise<Result<void, StoreError>> {
    const path = `/kv/${encodeURIComponent(key)}?version=${expectedVersion}`;
    const answer = await this.send('DELETE', path);
    return answer.map(() => undefined);
  }

  override async watch(
    prefix: string,
    revision: number,
    waitMs: number,
  ): Promise<Result<Changes, StoreError>> {
    const query = `prefix=${encodeURIComponent(prefix)}&after=${revision}&wait=${waitMs}`;
    const answer = await this.send('GET', `/watch?${query}`, undefined, waitMs);
    return answer.map(({ body }) => changes.parse(body));
  }

  /** Closes the connections to the store. */
  async close(): Promise<void> {
    await this.dispatcher.destroy();
  }

  private async send(
    method: StoreRequest['method'],
    path: string,
    body?: unknown,
    extraMs = 0,
  ): Promise<Result<StoreAnswer, StoreError>> {
    const { url: origin, dispatcher } = this;
    const signal = AbortSignal.timeout(this.timeoutMs + extraMs);
    try {
      const answer = await exchangeJson({ origin, method, path, body, dispatcher, signal });
      return this.interpret(answer, method);
    } catch (error) {
      return Err(unansweredError({ origin, method }, error));
    }
  }

  private interpret(
    answer: StoreAnswer,
    method: StoreRequest['method'],
  ): Result<StoreAnswer, StoreError> {
    const { status } = answer;
    const { url: origin } = this;
    if (status === 409) return Err(conflictError());
    if (status === 503) return Err(refusedError(origin, status));
    if (status >= 500) return Err(unansweredError({ origin, method }, `it failed with ${status}`));
    return Ok(answer);
  }
}
