import { RoutedStandin } from '@marjorampin/standins';
import { MemoryKeyValueStore, type StoredValue } from '@marjorampin/store';
import { getQuery, type H3, type H3Event, readBody } from 'h3';

interface Transaction {
  expect: { key: string; rev: number }[];
  puts: { key: string; value: string }[];
  remove: string[];
}

/** `refuses` replies with status 503, `silent` never replies. */
export type StoreMode = 'serves' | 'refuses' | 'silent';

/**
 * Stand-in for the platform's store, without leases. A transaction writes one key, and the revision
 * of a key counts the changes of this key.
 */
export class StoreStandin extends RoutedStandin {
  private readonly store = new MemoryKeyValueStore();

  private mode: StoreMode = 'serves';

  /** Sets how subsequent requests are answered. */
  setMode(mode: StoreMode): void {
    this.mode = mode;
  }

  /** Writes a value as an operator or endpoint would. */
  async put(key: string, value: unknown): Promise<void> {
    await this.putText(key, JSON.stringify(value));
  }

  /** Writes text, which need not be JSON. */
  async putText(key: string, value: string): Promise<void> {
    const expectedVersion = await this.versionOf(key);
    await this.store.compareAndSwap({ key, value, expectedVersion });
  }

  /** Returns the text of a key, empty if it is absent. */
  async text(key: string): Promise<string> {
    return (await this.store.get(key)).unwrap()?.value ?? '';
  }

  /** Removes a key. */
  async remove(key: string): Promise<void> {
    await this.store.remove(key, await this.versionOf(key));
  }

  protected override addRoutes(app: H3): void {
    const serve = (answer: (event: H3Event) => Promise<Response>) => (event: H3Event) => {
      if (this.mode === 'serves') return answer(event);
      if (this.mode === 'refuses') return new Response(null, { status: 503 });
      return new Promise<Response>(() => {});
    };
    const path = '/marjorampin';
    app.get(
      `${path}/kv-key`,
      serve((event) => this.get(queryOf(event, 'key'))),
    );
    app.get(
      `${path}/kv-range`,
      serve((event) => this.list(queryOf(event, 'prefix'))),
    );
    app.get(
      `${path}/kv-watch`,
      serve((event) => this.watch(event)),
    );
    app.post(
      `${path}/kv-txn`,
      serve(async (event) => this.transact(await readBody(event))),
    );
  }

  private async versionOf(key: string): Promise<number> {
    const read = await this.store.get(key);
    return read.unwrap()?.version ?? 0;
  }

  private async get(key: string): Promise<Response> {
    const stored = (await this.store.get(key)).unwrap();
    if (!stored) return new Response(null, { status: 404 });
    return Response.json({ ...itemOf(stored), storeRevision: stored.version });
  }

  private async list(prefix: string): Promise<Response> {
    const { values, revision } = (await this.store.list(prefix)).unwrap();
    return Response.json({ items: values.map(itemOf), hasMore: false, storeRevision: revision });
  }

  private async watch(event: H3Event): Promise<Response> {
    const prefix = queryOf(event, 'prefix');
    const after = Number(queryOf(event, 'after'));
    const waitMs = Number(queryOf(event, 'waitMs'));
    const changes = (await this.store.watch(prefix, after, waitMs)).unwrap();
    const removed = changes.removed.map((key) => ({ key, rev: changes.revision, deleted: true }));
    const events = [...changes.values.map(itemOf), ...removed];
    return Response.json({ events, storeRevision: changes.revision });
  }

  private async transact(transaction: Transaction | undefined): Promise<Response> {
    const [expected] = transaction?.expect ?? [];
    if (!transaction || !expected) return new Response(null, { status: 400 });
    const { key, rev: expectedVersion } = expected;
    const [put] = transaction.puts;
    const written = put
      ? await this.store.compareAndSwap({ key, value: textOf(put.value), expectedVersion })
      : await this.store.remove(key, expectedVersion);
    if (written.err) return Response.json({ items: [] }, { status: 412 });
    return Response.json({ rev: written.val ?? expectedVersion });
  }
}

function queryOf(event: H3Event, name: string): string {
  return String(getQuery(event)[name] ?? '');
}

function itemOf({ key, value, version }: StoredValue) {
  return { key, value: Buffer.from(value).toString('base64'), rev: version };
}

function textOf(base64: string): string {
  return Buffer.from(base64, 'base64').toString('utf8');
}
