import { Err, Ok, type Result } from '@marjorampin/types';
import { Agent } from 'undici';
import * as z from 'zod';
import {
  decodeResponse,
  exchangeJson,
  refusedError,
  type StoreResponse,
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

/** Options of `HttpKeyValueStore`. */
export interface HttpKeyValueStoreOptions {
  /** Base URL of the store, for example `http://127.0.0.1:7300`. */
  url: string;
  timeoutMs?: number;
}

/** Limit of concurrent requests; an entry has at most one for each partition and program. */
const CONNECTIONS = 64;
/** A request takes a few milliseconds; a store that takes longer than this counts as unavailable. */
const TIMEOUT_MS = 1_000;

/** Client of the platform's key-value store over HTTP. */
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
    const response = await this.send('GET', `/kv/${encodeURIComponent(key)}`);
    if (response.err) return response;
    if (response.val.status === 404) return Ok(undefined);
    return this.decode('GET', response.val, storedValue);
  }

  override async list(prefix: string): Promise<Result<Snapshot, StoreError>> {
    const response = await this.send('GET', `/list?prefix=${encodeURIComponent(prefix)}`);
    return response.andThen((listed) => this.decode('GET', listed, snapshot));
  }

  override async compareAndSwap(write: CompareAndSwap): Promise<Result<number, StoreError>> {
    const { key, value, expectedVersion } = write;
    const path = `/kv/${encodeURIComponent(key)}`;
    const response = await this.send('PUT', path, { value, expectedVersion });
    if (response.err) return response;
    return this.decode('PUT', response.val, written).map(({ version }) => version);
  }

  override async remove(key: string, expectedVersion: number): Promise<Result<void, StoreError>> {
    const path = `/kv/${encodeURIComponent(key)}?version=${expectedVersion}`;
    const response = await this.send('DELETE', path);
    return response.map(() => undefined);
  }

  override async watch(
    prefix: string,
    revision: number,
    waitMs: number,
  ): Promise<Result<Changes, StoreError>> {
    const query = `prefix=${encodeURIComponent(prefix)}&after=${revision}&wait=${waitMs}`;
    const response = await this.send('GET', `/watch?${query}`, undefined, waitMs);
    return response.andThen((watched) => this.decode('GET', watched, changes));
  }

  /** Closes the connections to the store. */
  async close(): Promise<void> {
    await this.dispatcher.destroy();
  }

  private decode<Schema extends z.ZodType>(
    method: StoreRequest['method'],
    response: StoreResponse,
    schema: Schema,
  ): Result<z.infer<Schema>, StoreError> {
    return decodeResponse({ origin: this.url, method }, response, schema);
  }

  private async send(
    method: StoreRequest['method'],
    path: string,
    body?: unknown,
    extraMs = 0,
  ): Promise<Result<StoreResponse, StoreError>> {
    const { url: origin, dispatcher } = this;
    const signal = AbortSignal.timeout(this.timeoutMs + extraMs);
    try {
      const response = await exchangeJson({ origin, method, path, body, dispatcher, signal });
      return this.toResult(response, method);
    } catch (error) {
      return Err(unansweredError({ origin, method }, error));
    }
  }

  private toResult(
    response: StoreResponse,
    method: StoreRequest['method'],
  ): Result<StoreResponse, StoreError> {
    const { status } = response;
    const { url: origin } = this;
    if (status === 409) return Err(conflictError());
    if (status === 503) return Err(refusedError(origin, status));
    if (status >= 500) return Err(unansweredError({ origin, method }, `status ${status}`));
    return Ok(response);
  }
}
