/* eslint-disable @stylistic/object-curly-newline, @stylistic/max-len -- formatted by Prettier */
/* eslint-disable no-await-in-loop, no-restricted-syntax, @typescript-eslint/no-use-before-define, import-x/prefer-default-export -- as in packages/, platform/ and soak/ */
/** Stand-in for the platform's metadata store: linearizable, one revision counter, no leases. */
import http from 'node:http';

interface Item {
  key: string;
  value: string;
  rev: number;
  created: number;
  lease: number;
}

interface Event extends Partial<Item> {
  key: string;
  rev: number;
  deleted?: boolean;
}

interface Transaction {
  expect?: { key: string; rev: number }[];
  puts?: { key: string; value: string; lease?: number }[];
  remove?: string[];
}

const PAGE_ITEMS = 500;
const ANSWER_MS = 4;

export class Store {
  private readonly items = new Map<string, Item>();

  private history: Event[] = [];

  private revision = 1;

  private readonly waiting = new Set<() => void>();

  private readonly server = http.createServer((request, response) => {
    setTimeout(() => {
      this.serve(request, response).catch(() => response.destroy());
    }, ANSWER_MS);
  });

  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a value as the operator or a runner does. */
  put(key: string, value: unknown): void {
    this.apply({ puts: [{ key, value: Buffer.from(JSON.stringify(value)).toString('base64') }] });
  }

  /** Returns the JSON value of a key. */
  get(key: string): unknown {
    const item = this.items.get(key);
    return item && JSON.parse(Buffer.from(item.value, 'base64').toString());
  }

  private apply({ puts = [], remove = [] }: Transaction): number {
    this.revision += 1;
    const rev = this.revision;
    puts.forEach(({ key, value, lease = 0 }) => {
      const item = { key, value, rev, created: this.items.get(key)?.created ?? rev, lease };
      this.items.set(key, item);
      this.history.push(item);
    });
    remove.forEach((key) => {
      if (this.items.delete(key)) this.history.push({ key, rev, deleted: true });
    });
    this.history = this.history.slice(-5_000);
    [...this.waiting].forEach((wake) => wake());
    return rev;
  }

  private async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const url = new URL(request.url ?? '/', 'http://store');
    const query = (name: string) => url.searchParams.get(name) ?? '';
    const answer = (status: number, body: object) => {
      const text = JSON.stringify(body);
      response.writeHead(status, {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(text),
      });
      response.end(text);
    };
    const storeRevision = this.revision;
    if (url.pathname === '/marjorampin/kv-key') {
      const item = this.items.get(query('key'));
      answer(item ? 200 : 404, { ...item, storeRevision });
    } else if (url.pathname === '/marjorampin/kv-range') {
      const found = [...this.items.values()]
        .filter(({ key }) => key.startsWith(query('prefix')) && key > query('after'))
        .sort((one, other) => (one.key < other.key ? -1 : 1));
      const items = found.slice(0, PAGE_ITEMS);
      answer(200, { items, hasMore: found.length > items.length, storeRevision });
    } else if (url.pathname === '/marjorampin/kv-watch') {
      await this.waitFor(query('prefix'), Number(query('after')), Number(query('waitMs')));
      const events = this.eventsAfter(query('prefix'), Number(query('after')));
      answer(200, { events, storeRevision: this.revision });
    } else if (url.pathname === '/marjorampin/kv-txn') {
      const transaction = JSON.parse(Buffer.concat(chunks).toString()) as Transaction;
      const isMet = (transaction.expect ?? []).every(
        ({ key, rev }) => (this.items.get(key)?.rev ?? 0) === rev,
      );
      const items = (transaction.expect ?? []).flatMap(({ key }) => this.items.get(key) ?? []);
      if (isMet) answer(200, { rev: this.apply(transaction) });
      else answer(412, { items });
    } else answer(404, {});
  }

  private eventsAfter(prefix: string, after: number): Event[] {
    return this.history.filter(({ key, rev }) => rev > after && key.startsWith(prefix));
  }

  private async waitFor(prefix: string, after: number, waitMs: number): Promise<void> {
    const until = Date.now() + waitMs;
    while (this.eventsAfter(prefix, after).length === 0 && Date.now() < until) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(done, until - Date.now());
        const { waiting } = this;
        function done() {
          clearTimeout(timer);
          waiting.delete(done);
          resolve();
        }
        waiting.add(done);
      });
    }
  }
}
