import type { Result } from '@marjorampin/types';
import { type H3, type H3Event, getQuery, readBody } from 'h3';
import {
  type Changes,
  MemoryKeyValueStore,
  type StoreError,
  type StoreFaults,
} from '@marjorampin/store';
import { RoutedStandin } from './httpStandin';

const HTTP_STATUS = { conflict: 409, unavailable: 503, ambiguous: 500 } as const;

/** Stand-in for the platform's key-value store over HTTP. */
export class KeyValueStoreStandin extends RoutedStandin {
  readonly store = new MemoryKeyValueStore();

  protected override addRoutes(app: H3): void {
    app.get('/kv/:key', (event) => this.get(event));
    app.put('/kv/:key', (event) => this.put(event));
    app.delete('/kv/:key', async (event) => {
      const version = Number(getQuery(event).version);
      return toResponse(await this.store.remove(keyOf(event), version));
    });
    app.get('/list', async (event) =>
      toResponse(await this.store.list(String(getQuery(event).prefix ?? ''))),
    );
    app.get('/watch', (event) => this.watch(event));
    app.get('/counts', () => this.store.counts);
    app.post('/faults', async (event) => {
      Object.assign(this.store.faults, await readBody<Partial<StoreFaults>>(event));
      this.store.interruptWatches();
      return this.store.faults;
    });
  }

  private async get(event: H3Event): Promise<Response> {
    const read = await this.store.get(keyOf(event));
    if (read.ok && !read.val) return new Response(null, { status: 404 });
    return toResponse(read);
  }

  private async put(event: H3Event): Promise<Response> {
    const body = await readBody<{ value: string; expectedVersion: number }>(event);
    if (!body) return new Response('the request has no body', { status: 400 });
    const written = await this.store.compareAndSwap({ key: keyOf(event), ...body });
    return toResponse(written.map((version) => ({ version })));
  }

  private async watch(event: H3Event): Promise<Response> {
    const { prefix, after, wait } = getQuery(event);
    const changes: Result<Changes, StoreError> = await this.store.watch(
      String(prefix ?? ''),
      Number(after),
      Number(wait),
    );
    return toResponse(changes);
  }
}

function keyOf(event: H3Event): string {
  return decodeURIComponent(event.context.params?.key ?? '');
}

function toResponse(result: Result<unknown, StoreError>): Response {
  if (result.err) return new Response(result.val.message, { status: HTTP_STATUS[result.val.kind] });
  return Response.json(result.val ?? null);
}
