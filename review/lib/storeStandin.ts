/* eslint-disable @stylistic/max-len, @stylistic/object-curly-newline, import-x/prefer-default-export, no-await-in-loop -- Relaxed for the sources of the repository as well, or left to prettier. */
/** Stand-in for the platform's metadata store. */
import type http from 'node:http';
import { readBody, sleep, Standin } from './standin';

/** Time of an answer; the sheets state 4 ms. */
const ANSWER_MS = 4;
const PAGE_ITEMS = 500;

interface Item {
  key: string;
  value: string;
  rev: number;
  created: number;
  lease: number;
}

interface Transaction {
  expect?: { key: string; rev: number }[];
  puts?: { key: string; value: string }[];
  remove?: string[];
}

type Change = Item | { key: string; rev: number; deleted: true };

/** A linearizable store with one revision counter, without leases. */
export class StoreStandin extends Standin {
  private revision = 1;

  private readonly items = new Map<string, Item>();

  private readonly history: Change[] = [];

  private waiters: (() => void)[] = [];

  /** Writes a value as the operator or a runner does. */
  put(key: string, value: unknown): void {
    this.revision += 1;
    this.store(key, Buffer.from(JSON.stringify(value)).toString('base64'));
    this.wake();
  }

  /** Removes a key as the platform does. */
  remove(key: string): void {
    this.revision += 1;
    this.delete(key);
    this.wake();
  }

  /** Returns the text of a key; empty if there is none. */
  text(key: string): string {
    return Buffer.from(this.items.get(key)?.value ?? '', 'base64').toString();
  }

  protected override async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    const text = await readBody(request);
    await sleep(ANSWER_MS);
    const { status, body } = await this.answer(url, text);
    response.writeHead(status, { 'Content-Type': 'application/json' });
    response.end(JSON.stringify(body ?? {}));
  }

  private async answer(url: URL, text: string): Promise<{ status: number; body?: unknown }> {
    const query = (name: string) => url.searchParams.get(name) ?? '';
    switch (url.pathname) {
      case '/marjorampin/kv-key': {
        const item = this.items.get(query('key'));
        if (!item) return { status: 404 };
        return { status: 200, body: { ...item, storeRevision: this.revision } };
      }
      case '/marjorampin/kv-range': {
        const found = [...this.items.values()]
          .filter(({ key }) => key.startsWith(query('prefix')) && key > query('after'))
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        const items = found.slice(0, PAGE_ITEMS);
        const hasMore = found.length > items.length;
        return { status: 200, body: { items, hasMore, storeRevision: this.revision } };
      }
      case '/marjorampin/kv-watch':
        return this.watch(query('prefix'), Number(query('after')), Number(query('waitMs')));
      case '/marjorampin/kv-txn':
        return this.transact(JSON.parse(text) as Transaction);
      default:
        return { status: 404 };
    }
  }

  private async watch(prefix: string, after: number, waitMs: number) {
    const until = performance.now() + waitMs;
    const find = () => this.history.filter(({ key, rev }) => rev > after && key.startsWith(prefix));
    while (find().length === 0 && performance.now() < until) {
      const woken = new Promise<void>((resolve) => {
        this.waiters.push(resolve);
      });
      await Promise.race([woken, sleep(until - performance.now())]);
    }
    return { status: 200, body: { events: find(), storeRevision: this.revision } };
  }

  private transact({ expect = [], puts = [], remove = [] }: Transaction) {
    const isMet = expect.every(({ key, rev }) => (this.items.get(key)?.rev ?? 0) === rev);
    if (!isMet) {
      const items = expect.flatMap(({ key }) => this.items.get(key) ?? []);
      return { status: 412, body: { items } };
    }
    this.revision += 1;
    puts.forEach(({ key, value }) => this.store(key, value));
    remove.forEach((key) => this.delete(key));
    this.wake();
    return { status: 200, body: { rev: this.revision } };
  }

  private store(key: string, value: string): void {
    const created = this.items.get(key)?.created ?? this.revision;
    const item = { key, value, rev: this.revision, created, lease: 0 };
    this.items.set(key, item);
    this.history.push(item);
  }

  private delete(key: string): void {
    if (this.items.delete(key)) this.history.push({ key, rev: this.revision, deleted: true });
  }

  private wake(): void {
    const { waiters } = this;
    this.waiters = [];
    waiters.forEach((resolve) => resolve());
  }
}
