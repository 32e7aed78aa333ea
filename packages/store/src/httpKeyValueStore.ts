import { Err, Ok, type Result } from '@marjorampin/types';
import { Agent, request } from 'undici';
import * as z from 'zod';
import {
  type Changes,
  type CompareAndSwap,
  conflictError,
  KeyValueStore,
  type Snapshot,
  type StoredValue,
  StoreError,
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

interface Answer {
  status: number;
  body: unknown;
}

/** The platform's key-value service over HTTP. */
export class HttpKeyValueStore extends KeyValueStore {
  private readonly url: string;

  private readonly timeoutMs: number;

  private readonly dispatcher: Agent;

  constructor({ url, timeoutMs = 1_000 }: HttpKeyValueStoreOptions) {
    super();
    this.url = url.replace(/\/$/, '');
    this.timeoutMs = timeoutMs;
    this.dispatcher = new Agent({ connections: 64, pipelining: 1 });
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
    method: 'GET' | 'PUT' | 'DELETE',
    path: string,
    body?: unknown,
    extraMs = 0,
  ): Promise<Result<Answer, StoreError>> {
    // A write whose answer is lost may still have taken effect.
    const lost = method === 'GET' ? 'unavailable' : 'ambiguous';
    try {
      const response = await request(`${this.url}${path}`, {
        method,
        dispatcher: this.dispatcher,
        headers: { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(this.timeoutMs + extraMs),
      });
      const text = await response.body.text();
      return this.interpret(response.statusCode, text, lost);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      const message = `platform store at ${this.url} did not answer: ${reason}; check that it runs`;
      return Err(new StoreError({ kind: lost, message }));
    }
  }

  private interpret(
    status: number,
    text: string,
    lost: 'unavailable' | 'ambiguous',
  ): Result<Answer, StoreError> {
    if (status === 409) {
      return Err(conflictError());
    }
    if (status === 503) {
      const message = `platform store at ${this.url} refuses requests; retry later`;
      return Err(new StoreError({ kind: 'unavailable', message }));
    }
    if (status >= 500) {
      const message = `platform store at ${this.url} failed with ${status}; retry later`;
      return Err(new StoreError({ kind: lost, message }));
    }
    return Ok({ status, body: text === '' ? undefined : JSON.parse(text) });
  }
}
