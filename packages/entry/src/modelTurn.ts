import { contextOf } from '@marjorampin/history';
import type { Reply } from '@marjorampin/protocol';
import {
  CallError,
  countTokens,
  type Endpoint,
  type Priority,
  type Service,
  toCallError,
} from '@marjorampin/types';
import type { ModelCallBody } from './calls';
import type { Endpoints } from './endpointDispatcher';
import type { Program } from './program';

const MAXIMUM_ATTEMPTS = 5;
const FIRST_PAUSE_MS = 30;

/** Context below this size is built faster than it is moved. */
const SMALLEST_MOVE_TOKENS = 256;
const MOVE_TIMEOUT_MS = 500;

/** Failures after which another endpoint may be tried: a model call is idempotent. */
const RETRIED = ['connection-lost', 'endpoint-failed', 'deadline-exceeded', 'leaving', 'internal'];

const PRIORITY_RANK: Record<Priority, number> = { urgent: 0, standard: 1, background: 2 };

/** What a model turn needs. */
export interface ModelTurnOptions {
  program: Program;
  body: ModelCallBody;
  service: Service;
  priority: Priority;
  identity: string;
  endpoints: Endpoints;
  /** Text that the caller already received. */
  emittedText: string;
  onText(text: string): void;
  /** Asks an endpoint to free the memory that it holds for the program. */
  release(endpoint: string): void;
  /** Waits between attempts. */
  pause(ms: number): Promise<void>;
}

/** What the engine answered. */
export interface ModelTurnResult {
  text: string;
  inputTokens: number;
  outputTokens: number;
  cachedTokens: number;
  rebuiltTokens: number;
}

/** Returns the most that a call can cost. */
export function worstCaseTokens({ input, maximumTokens }: ModelCallBody): number {
  return countTokens(input) + maximumTokens;
}

/** Runs a model call, going on elsewhere from the text so far whenever an endpoint fails. */
export async function runModelTurn(options: ModelTurnOptions): Promise<ModelTurnResult> {
  const { program, body, pause } = options;
  const context = `${contextOf(program.segments)}${body.input}\n`;
  const tried = new Set<string>();
  let hasStarted = false;
  let text = options.emittedText;
  const collect = (part: string) => {
    text += part;
    options.onText(part);
  };
  for (let attempt = 1; ; attempt += 1) {
    let endpointId = '';
    try {
      const endpoint = await choose(options, context, tried);
      endpointId = endpoint.id;
      await moveContext(options, endpoint, countTokens(context));
      const reply = await send(options, endpoint, context, text, collect);
      program.warmEndpoint = endpointId;
      return resultOf(reply, text, collect);
    } catch (thrown) {
      const error = toCallError(thrown);
      hasStarted ||= error.execution !== 'not-run';
      const isRetried = RETRIED.includes(error.kind) && attempt < MAXIMUM_ATTEMPTS;
      if (!isRetried) throw hasStarted ? startedError(error) : error;
      tried.add(endpointId);
      await pause(FIRST_PAUSE_MS * attempt * (0.5 + Math.random()));
    }
  }
}

function choose(
  { program, body, service, priority, endpoints }: ModelTurnOptions,
  context: string,
  tried: Set<string>,
): Promise<Endpoint> {
  const request = {
    warmEndpoint: program.warmEndpoint,
    contextTokens: countTokens(context),
    wastedCachePriceMs: service.wastedCachePriceMs,
    priority,
  };
  return endpoints.choose(body.service, request, tried);
}

/** Takes the cached context along to another endpoint; what can't be moved is built anew. */
async function moveContext(
  { program, endpoints }: ModelTurnOptions,
  target: Endpoint,
  contextTokens: number,
): Promise<void> {
  const source = endpoints.get(program.warmEndpoint);
  const isWorthwhile = contextTokens >= SMALLEST_MOVE_TOKENS;
  if (!source || source.id === target.id || !isWorthwhile) return;
  const fence = { partition: program.partition, epoch: program.epoch };
  const value = { fence, program: program.id, targetAddress: target.address };
  const options = { progressTimeoutMs: MOVE_TIMEOUT_MS };
  await endpoints.send(source, { case: 'moveContext', value }, options).catch(() => undefined);
}

/** A call that an endpoint may have started is not reported as "not run". */
function startedError(thrown: unknown): CallError {
  const { kind, message, retryAfterMs } = toCallError(thrown);
  return new CallError({ kind, message, retryAfterMs, execution: 'unknown' });
}

function send(
  options: ModelTurnOptions,
  endpoint: Endpoint,
  context: string,
  resumeText: string,
  onText: (text: string) => void,
): Promise<Reply> {
  const { program, body, service, priority, identity, endpoints } = options;
  const given = program.visit(endpoint.id);
  if (given) options.release(given);
  const value = {
    fence: { partition: program.partition, epoch: program.epoch },
    program: program.id,
    request: identity,
    context,
    resumeText,
    maximumTokens: body.maximumTokens,
    priority: PRIORITY_RANK[priority],
    deadlineMs: body.deadlineMs,
  };
  const { progressTimeoutMs } = service;
  return endpoints.send(endpoint, { case: 'modelCall', value }, { onText, progressTimeoutMs });
}

/** Checks that the streamed parts make up the engine's whole text, and completes them. */
function resultOf(
  reply: Reply,
  streamed: string,
  collect: (text: string) => void,
): ModelTurnResult {
  if (reply.body.case !== 'modelResult') {
    const message = `the agent answered a model call with "${reply.body.case}"; update the agent`;
    throw new CallError({ kind: 'internal', message, execution: 'unknown' });
  }
  const { text, inputTokens, outputTokens, cachedTokens, rebuiltTokens } = reply.body.value;
  if (!text.startsWith(streamed)) {
    const message = 'the engine did not go on from the text that the caller has; repeat the call';
    throw new CallError({ kind: 'endpoint-failed', message, execution: 'done' });
  }
  if (text.length > streamed.length) collect(text.slice(streamed.length));
  return { text, inputTokens, outputTokens, cachedTokens, rebuiltTokens };
}
