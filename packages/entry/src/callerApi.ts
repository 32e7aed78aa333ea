import type { ConfigurationView } from '@marjorampin/configuration';
import type { ByteAccount } from '@marjorampin/http';
import type { BurnRecorder, Metrics } from '@marjorampin/metrics';
import {
  CallError,
  type Clock,
  type Contract,
  parseProgramId,
  toCallError,
} from '@marjorampin/types';
import { H3, type H3Event } from 'h3';
import { CALL_SCHEMAS, type Call, type CallMethod, type TurnAnswer } from './calls';
import type { CallRouter } from './callRouter';
import { OPEN_API } from './openApi';
import { problemOf, problemResponse } from './problemDetails';
import { usedPartitions } from './contractTerms';
import { readJson } from './readJson';

/** Deadline of calls whose schema has none: opening, spawning, ending and reading histories. */
const DEFAULT_DEADLINE_MS = 30_000;

/** Options of `CallerApi`. */
export interface CallerApiOptions {
  configuration: ConfigurationView;
  router: CallRouter;
  metrics: Metrics;
  burn: BurnRecorder;
  /** Counts the bytes of bodies that are being read. */
  held: ByteAccount;
  clock: Clock;
  /** Returns false once a graceful shutdown has begun; `/healthz` then answers 503. */
  isReady(): boolean;
  /** Returns false once a graceful shutdown refuses new requests, after handing partitions over. */
  isAccepting(): boolean;
  /** Returns those of the listed partitions that this process owns. */
  filterOwned(partitions: number[]): number[];
}

/** A validated request body, with defaults filled in. */
interface ParsedBody {
  /** Serialized JSON. */
  body: string;
  isStreamed: boolean;
  deadlineMs: number;
}

/** The callers' HTTP API, with the routes for health, metrics and the OpenAPI description. */
export class CallerApi {
  private readonly options: CallerApiOptions;

  private runningRequests = 0;

  constructor(options: CallerApiOptions) {
    this.options = options;
  }

  /** Number of requests in progress, open streams included. */
  get runningRequestCount(): number {
    return this.runningRequests;
  }

  /** Registers the API's routes. */
  addRoutes(app: H3): void {
    const { metrics, isReady } = this.options;
    app.get('/healthz', () => new Response(null, { status: isReady() ? 200 : 503 }));
    app.get('/metrics', async () => new Response(await metrics.render()));
    app.get('/openapi.json', () => OPEN_API);
    app.post('/v1/programs', (event) => this.handleCall(event, 'open'));
    app.post('/v1/programs/:program/model-calls', (event) => this.handleCall(event, 'model'));
    app.post('/v1/programs/:program/service-calls', (event) => this.handleCall(event, 'service'));
    app.post('/v1/programs/:program/children', (event) => this.handleCall(event, 'spawn'));
    app.post('/v1/programs/:program/end', (event) => this.handleCall(event, 'end'));
    app.post('/v1/programs/:program/history', (event) => this.handleCall(event, 'history'));
  }

  private async handleCall(event: H3Event, method: CallMethod): Promise<Response> {
    const { clock } = this.options;
    const startedMs = clock.now();
    this.runningRequests += 1;
    let isStreaming = false;
    let customer = '';
    try {
      if (!this.options.isAccepting()) throw entryStopping();
      const contract = this.authenticate(event);
      customer = contract.customer;
      const { body, isStreamed, deadlineMs } = await parseBody(event, method, this.options.held);
      const call = this.createCall(event, method, contract, body);
      if (isStreamed) {
        isStreaming = true;
        return this.streamAnswer(call, deadlineMs, startedMs);
      }
      const answer = await this.options.router.route(call, deadlineMs);
      this.recordResult(call, undefined, startedMs);
      return new Response(answer, { headers: { 'content-type': 'application/json' } });
    } catch (thrown) {
      const error = toCallError(thrown);
      this.recordResult({ method, customer }, error, startedMs);
      return problemResponse(error);
    } finally {
      if (!isStreaming) this.runningRequests -= 1;
    }
  }

  /** Streams the answer as server-sent events: any number of `text`, then `answer` or `problem`. */
  private streamAnswer(call: Call, deadlineMs: number, startedMs: number): Response {
    const { router } = this.options;
    const encoder = new TextEncoder();
    let isOpen = true;
    const stream = new ReadableStream<Uint8Array>({
      start: async (controller) => {
        const send = (event: string, data: string) => {
          if (isOpen) controller.enqueue(encoder.encode(`event: ${event}\ndata: ${data}\n\n`));
        };
        try {
          let sentCharacters = 0;
          const onText = (text: string) => {
            sentCharacters += text.length;
            send('text', JSON.stringify({ text }));
          };
          const answer = await router.route({ ...call, onText }, deadlineMs);
          // A call that joined a running or finished one is not streamed: its text is sent here.
          const { text = '' } = JSON.parse(answer) as TurnAnswer;
          if (text.length > sentCharacters) onText(text.slice(sentCharacters));
          this.recordResult(call, undefined, startedMs);
          send('answer', answer);
        } catch (thrown) {
          const error = toCallError(thrown);
          this.recordResult(call, error, startedMs);
          send('problem', JSON.stringify(problemOf(error)));
        } finally {
          this.runningRequests -= 1;
          if (isOpen) controller.close();
        }
      },
      cancel: () => {
        isOpen = false;
      },
    });
    return new Response(stream, { headers: { 'content-type': 'text/event-stream' } });
  }

  private authenticate(event: H3Event): Contract {
    const header = event.req.headers.get('authorization') ?? '';
    const key = /^Bearer (\S{1,256})$/.exec(header)?.[1];
    const contract = key ? this.options.configuration.contractOfKey(key) : undefined;
    if (contract) return contract;
    const message =
      'the key is missing or belongs to no contract; send "authorization: Bearer KEY"';
    throw new CallError({ kind: 'unauthenticated', message });
  }

  private createCall(event: H3Event, method: CallMethod, contract: Contract, body: string): Call {
    const { customer } = contract;
    // Never aborted: a call continues when its caller disconnects, so that a repeated call gets its
    // answer.
    const { signal } = new AbortController();
    const base = { customer, method, body, emittedText: '', onText: () => undefined, signal };
    if (method === 'open') return { ...base, program: '', partition: this.pickPartition(contract) };
    const program = decodeURIComponent(event.context.params?.program ?? '');
    const parts = parseProgramId(program);
    if (!parts) {
      const message = `"${program}" is not a program id; use the id that opening a program returned`;
      throw new CallError({ kind: 'unknown-program', message });
    }
    if (parts.customer !== customer) {
      const message = 'the program belongs to another customer; use the key of its own contract';
      throw new CallError({ kind: 'forbidden', message });
    }
    return { ...base, program, partition: parts.partition };
  }

  /** Prefers partitions that this process owns, so that the program's calls need no forwarding. */
  private pickPartition(contract: Contract): number {
    const candidates = usedPartitions(contract);
    const owned = this.options.filterOwned(candidates);
    const choices = owned.length > 0 ? owned : candidates;
    return choices[Math.floor(Math.random() * choices.length)] ?? 0;
  }

  private recordResult(
    { method, customer }: Pick<Call, 'method' | 'customer'>,
    error: CallError | undefined,
    startedMs: number,
  ): void {
    const { metrics, clock, burn } = this.options;
    metrics.count('calls_total', { method, result: error?.kind ?? 'ok' });
    metrics.observe('call', { method }, clock.now() - startedMs);
    if (error) {
      const { kind, execution } = error;
      metrics.count('failed_calls_total', { method, kind, execution });
    }
    // Errors of the caller do not count against the service's error budget.
    const isServiceFailure = error !== undefined && error.status >= 500;
    if (customer !== '') {
      burn.record(customer, isServiceFailure ? error.kind : '', clock.wallTime());
    }
  }
}

async function parseBody(
  event: H3Event,
  method: CallMethod,
  held: ByteAccount,
): Promise<ParsedBody> {
  const json = await readJson(event.req, held);
  const parsed = CALL_SCHEMAS[method].safeParse(json);
  if (parsed.success) {
    const isStreamed = 'stream' in parsed.data && parsed.data.stream === true;
    const { deadlineMs = DEFAULT_DEADLINE_MS } = parsed.data as { deadlineMs?: number };
    return { body: JSON.stringify(parsed.data), isStreamed, deadlineMs };
  }
  const [issue] = parsed.error.issues;
  const field = issue?.path.join('.') || 'body';
  const message = `"${field}" is invalid: ${issue?.message}; see /openapi.json`;
  throw new CallError({ kind: 'invalid-request', message });
}

/** Creates the error for requests on connections that stay open after listening has stopped. */
function entryStopping(): CallError {
  const message = 'this entry is stopping; send the call to another entry';
  return new CallError({ kind: 'leaving', message, retryAfterMs: 50 });
}
