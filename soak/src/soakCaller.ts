import http from 'node:http';
import { type PeerAddress, SystemClock } from '@marjorampin/types';
import { headerValue } from '@marjorampin/gateway';
import { HEADERS } from '@marjorampin/platform';
import type { RandomSource } from './soakEnvironment';
import { EVENTS_PER_TURN, eventData, sealOf, TOKENS_PER_EVENT } from './endpointStandin';
import type { RequestEnd, SoakRecord } from './soakRecord';

const clock = new SystemClock();

const TURN_TOKENS = EVENTS_PER_TURN * TOKENS_PER_EVENT;
const DEFAULT_DEADLINE_MS = 3_000;
/** Attempts of a turn or tool call; enough to outlast the longest fault of a soak. */
const MAXIMUM_ATTEMPTS = 12;
/** Limit on the requested retry delay, which makes callers retry more often during a fault. */
const MAXIMUM_RETRY_DELAY_MS = 400;
/** Retry delay where the response requests none. */
const DEFAULT_RETRY_DELAY_MS = 100;
/** Share of programs whose budget covers a single turn. */
const SMALL_BUDGET_SHARE = 0.25;
/** Turns that other budgets cover beyond the planned ones, for attempts that spend tokens in vain. */
const SPARE_TURNS = 8;
const MAXIMUM_TURNS = 4;
/** Prompt tokens of a turn as its caller declares them; the stand-ins ignore the number. */
const PROMPT_TOKENS = 100;
const MS_PER_SECOND = 1_000;

/**
 * Response to a call. The status `broken` means that no response arrived or that its body is
 * incomplete; it isn't a violated guarantee, which `SoakResult.broken` lists.
 */
interface CallOutcome extends RequestEnd {
  body: string;
  seal: string | undefined;
  retryAfterMs: number;
}

interface Call {
  id: string;
  path: string;
  method: 'GET' | 'POST';
  body: string;
  headers: Record<string, string>;
}

/** A turn whose answer was complete. */
export interface CompletedTurn {
  id: string;
  /** Inputs and outputs of the chain up to the end of this turn. */
  context: string;
}

/** Options of `SoakCaller`. */
export interface SoakCallerOptions {
  record: SoakRecord;
  random: RandomSource;
  /** Addresses at which callers reach the entries. */
  entries: PeerAddress[];
  deadlineMs?: number;
  /** Returns how long endpoints work on the next request, as the last part of its path. */
  nextDuration?: (() => string) | undefined;
  /** Begins the ids of requests and programs; callers of one soak need different ones. */
  prefix?: string;
}

/** Runs programs against entries and checks every response. */
export class SoakCaller {
  readonly completedTurns: CompletedTurn[] = [];

  private readonly record: SoakRecord;

  private readonly random: RandomSource;

  /** Addresses at which callers reach the entries. */
  private readonly entries: PeerAddress[];

  private readonly deadlineMs: number;

  private readonly nextDuration: () => string;

  private readonly prefix: string;

  private readonly agent = new http.Agent({ keepAlive: true });

  private lastId = 0;

  constructor({
    record,
    random,
    entries,
    deadlineMs = DEFAULT_DEADLINE_MS,
    nextDuration = () => 'x',
    prefix = '',
  }: SoakCallerOptions) {
    this.record = record;
    this.random = random;
    this.entries = entries;
    this.deadlineMs = deadlineMs;
    this.nextDuration = nextDuration;
    this.prefix = prefix;
  }

  /** Runs one program of turns and tool calls; true when all of them succeeded. */
  async runProgram(): Promise<boolean> {
    const program = this.nextId('p');
    const turns = 1 + Math.floor(this.random() * MAXIMUM_TURNS);
    const hasSmallBudget = this.random() < SMALL_BUDGET_SHARE;
    const budget = TURN_TOKENS * (hasSmallBudget ? 1 : turns + SPARE_TURNS);
    let last: CompletedTurn | undefined;
    for (let turn = 0; turn < turns; turn += 1) {
      const next = await this.runTurn(program, budget, last);
      if (!next) return false;
      last = next;
      if (!(await this.runToolCall(this.random() < 0.5))) return false;
    }
    return true;
  }

  /** Continues a turn in a new program; true when the answer was complete. */
  async continueTurn(previous: CompletedTurn): Promise<boolean> {
    return (
      (await this.runTurn(this.nextId('p'), TURN_TOKENS * (1 + SPARE_TURNS), previous)) !==
      undefined
    );
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  private async runTurn(
    program: string,
    budget: number,
    previous: CompletedTurn | undefined,
  ): Promise<CompletedTurn | undefined> {
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const id = this.nextId('t');
      const input = `prompt ${id};`;
      const context = `${previous?.context ?? ''}${input}`;
      this.record.recordRequest(id, 'turn', context);
      const outcome = await this.send({
        id,
        path: `/turn/${this.nextDuration()}`,
        method: 'POST',
        body: input,
        headers: {
          [HEADERS.program]: program,
          [HEADERS.session]: program,
          [HEADERS.budget]: String(budget),
          [HEADERS.tokens]: `${PROMPT_TOKENS},${TURN_TOKENS}`,
          ...(previous ? { [HEADERS.previousTurn]: previous.id } : {}),
        },
      });
      this.checkTurn(id, program, budget, outcome);
      if (outcome.status === 200) {
        const output = Array.from({ length: EVENTS_PER_TURN }, (_, index) => eventData(id, index));
        const turn = { id, context: `${context}${output.map((text) => `${text}\n`).join('')}` };
        this.completedTurns.push(turn);
        return turn;
      }
      const isUnknown = outcome.status === 404 || outcome.status === 410;
      if (isUnknown) this.record.report(`LOST: continuing ${previous?.id} got ${outcome.status}`);
      if (outcome.status === 402 || isUnknown) return undefined;
      await clock.sleep(outcome.retryAfterMs);
    }
    return undefined;
  }

  private checkTurn(id: string, program: string, budget: number, outcome: CallOutcome): void {
    const events = [...outcome.body.matchAll(/^data: (.*)\n/gm)].map(([, data]) => data);
    const isInOrder = events.every((data, index) => data === eventData(id, index));
    if (!isInOrder) this.record.report(`ORDER: ${id} received ${JSON.stringify(events)}`);
    if (outcome.status === 200 && events.length !== EVENTS_PER_TURN) {
      this.record.report(`ORDER: ${id} ended after ${events.length} events`);
    }
    if (outcome.status === 200 && outcome.seal !== sealOf(id)) {
      this.record.report(`MIXED: ${id} has the seal ${outcome.seal}`);
    }
    // Tolerates one turn above the budget. `keeperProperty.ts` checks budgets without tolerance.
    this.record.recordTokens(program, events.length * TOKENS_PER_EVENT, budget + TURN_TOKENS);
  }

  private async runToolCall(isIdempotent: boolean): Promise<boolean> {
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const id = this.nextId('c');
      this.record.recordRequest(id, isIdempotent ? 'idempotent' : 'non-idempotent', '');
      const path = `/${isIdempotent ? 'look' : 'book'}/${this.nextDuration()}`;
      const outcome = await this.send({ id, path, method: 'GET', body: '', headers: {} });
      if (outcome.status === 200) {
        const isValid = outcome.body === `done ${id}` && outcome.seal === sealOf(id);
        if (!isValid) this.record.report(`MIXED: ${id} got ${outcome.body}, seal ${outcome.seal}`);
        return true;
      }
      const isRetryable = isIdempotent || outcome.status === 503 || outcome.status === 429;
      if (!isRetryable) return false;
      await clock.sleep(outcome.retryAfterMs);
    }
    return false;
  }

  private async send(call: Call): Promise<CallOutcome> {
    const outcome = await this.exchange(call);
    this.record.recordOutcome(call.id, outcome);
    return outcome;
  }

  private exchange({ id, path, method, body, headers }: Call): Promise<CallOutcome> {
    const entry = this.entries[Math.floor(this.random() * this.entries.length)];
    return new Promise((resolve) => {
      let text = '';
      let seal: string | undefined;
      let sentAtMs: number | undefined;
      const resolveBroken = () =>
        resolve({
          status: 'broken',
          sinceSentMs: sentAtMs && performance.now() - sentAtMs,
          body: text,
          seal,
          retryAfterMs: MAXIMUM_RETRY_DELAY_MS,
        });
      const request = http.request(
        {
          ...entry,
          path,
          method,
          agent: this.agent,
          headers: {
            Host: 'soak.example',
            [HEADERS.requestId]: id,
            [HEADERS.deadline]: String(this.deadlineMs),
            'Content-Length': String(Buffer.byteLength(body)),
            ...headers,
          },
        },
        (response) => {
          seal = headerValue(response.rawHeaders, HEADERS.seal.toLowerCase());
          response.setEncoding('utf8');
          response.on('data', (part: string) => {
            text += part;
          });
          response.on('error', resolveBroken);
          response.on('end', () => {
            const retryAfter = response.headers['retry-after'];
            const requestedDelayMs = retryAfter
              ? Number(retryAfter) * MS_PER_SECOND
              : DEFAULT_RETRY_DELAY_MS;
            const retryAfterMs = Math.min(MAXIMUM_RETRY_DELAY_MS, requestedDelayMs);
            if (!response.complete) {
              resolveBroken();
              return;
            }
            resolve({ status: response.statusCode ?? 0, body: text, seal, retryAfterMs });
          });
        },
      );
      request.setTimeout(this.deadlineMs, () => request.destroy());
      request.on('finish', () => {
        sentAtMs = performance.now();
      });
      request.on('error', resolveBroken);
      request.on('close', resolveBroken);
      request.end(body);
    });
  }

  private nextId(kind: string): string {
    this.lastId += 1;
    return `${this.prefix}${kind}${this.lastId}`;
  }
}
