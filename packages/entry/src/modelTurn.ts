import { contextOf } from '@marjorampin/history';
import type { Reply } from '@marjorampin/protocol';
import {
  CallError,
  estimateTokens,
  type Endpoint,
  type Priority,
  type Service,
  toCallError,
} from '@marjorampin/types';
import type { ModelCallBody } from './calls';
import type { EndpointClient } from './endpointDispatcher';
import type { Program } from './program';

const MAXIMUM_ATTEMPTS = 5;
/** Number of runs of one request that may end with the loss of their endpoint. */
const MAXIMUM_INTERRUPTED_RUNS = 3;
/** Average retry delay after the first attempt; grows by this much with each further one. */
const RETRY_DELAY_STEP_MS = 30;

/** A smaller context is rebuilt faster than it is moved. */
const MINIMUM_MOVE_TOKENS = 256;
const MOVE_TIMEOUT_MS = 500;

/** Error kinds after which another endpoint is tried; a model call is idempotent. */
const RETRIED_KINDS = [
  'connection-lost',
  'endpoint-failed',
  'deadline-exceeded',
  'leaving',
  'internal',
];

/** Error kinds with which an endpoint is lost under a call. */
const LOSS_KINDS = ['connection-lost', 'endpoint-failed'];

const PRIORITY_RANK: Record<Priority, number> = { urgent: 0, standard: 1, background: 2 };

/** Options of `runModelTurn`. */
export interface ModelTurnOptions {
  program: Program;
  body: ModelCallBody;
  service: Service;
  priority: Priority;
  /** Id of the request at the endpoints; the same for all attempts. */
  requestId: string;
  endpoints: EndpointClient;
  /** Part of the answer's text that the caller has already received. */
  emittedText: string;
  onText(text: string): void;
  /** Requests an endpoint to release the cached context of the program. */
  release(endpoint: string): void;
  /** Waits between attempts. */
  sleep(ms: number): Promise<void>;
}

/** Text and token counts that the engine returned. */
export interface ModelTurnResult {
  text: string;
  inputTokens: number;
  outputTokens: number;
  cachedTokens: number;
  rebuiltTokens: number;
}

/** Returns the largest number of tokens that a call can cost. */
export function worstCaseTokens({ input, maximumTokens }: ModelCallBody): number {
  return estimateTokens(input) + maximumTokens;
}

/**
 * Runs a model call. When an endpoint fails, another one is tried, which continues from the text
 * received so far.
 */
export async function runModelTurn(options: ModelTurnOptions): Promise<ModelTurnResult> {
  const { program, body, sleep } = options;
  const context = `${contextOf(program.segments)}${body.input}\n`;
  const tried = new Set<string>();
  let mayHaveStarted = false;
  let text = options.emittedText;
  const emitText = (part: string) => {
    text += part;
    options.onText(part);
  };
  for (let attempt = 1; ; attempt += 1) {
    refuseRepeatedlyInterrupted(options, mayHaveStarted);
    let endpointId = '';
    try {
      const endpoint = await chooseEndpoint(options, context, tried);
      endpointId = endpoint.id;
      await moveContext(options, endpoint, estimateTokens(context));
      const reply = await sendCall(options, endpoint, context, text, emitText);
      program.warmEndpoint = endpointId;
      return resultOf(reply, text, emitText);
    } catch (thrown) {
      const error = toCallError(thrown);
      mayHaveStarted ||= error.execution !== 'not-run';
      const isInterrupted = LOSS_KINDS.includes(error.kind) && error.execution !== 'not-run';
      if (isInterrupted) program.recordInterruptedRun(options.requestId);
      const isRetried = RETRIED_KINDS.includes(error.kind) && attempt < MAXIMUM_ATTEMPTS;
      if (!isRetried) throw mayHaveStarted ? asUnknownExecution(error) : error;
      tried.add(endpointId);
      await sleep(RETRY_DELAY_STEP_MS * attempt * (0.5 + Math.random()));
    }
  }
}

/**
 * Throws for a request under which several endpoints were lost, `quarantined` if it did not run.
 * Answers inputs that crash each endpoint, which attempts and repeats would otherwise bring to one
 * after another.
 */
function refuseRepeatedlyInterrupted(
  { program, requestId }: ModelTurnOptions,
  mayHaveStarted: boolean,
): void {
  const runs = program.interruptedRunsOf(requestId);
  if (runs < MAXIMUM_INTERRUPTED_RUNS) return;
  const message = `${runs} endpoints were lost while they ran the call; don't repeat it, and check the endpoints and the input`;
  if (!mayHaveStarted) throw new CallError({ kind: 'quarantined', message });
  throw new CallError({ kind: 'endpoint-failed', message, execution: 'unknown' });
}

function chooseEndpoint(
  { program, body, service, priority, endpoints }: ModelTurnOptions,
  context: string,
  tried: Set<string>,
): Promise<Endpoint> {
  const request = {
    warmEndpoint: program.warmEndpoint,
    contextTokens: estimateTokens(context),
    wastedCachePriceMs: service.wastedCachePriceMs,
    priority,
  };
  return endpoints.choose(body.service, request, tried);
}

/** Moves the cached context to the target endpoint; if that fails, the target rebuilds it. */
async function moveContext(
  { program, endpoints }: ModelTurnOptions,
  target: Endpoint,
  contextTokens: number,
): Promise<void> {
  const source = endpoints.get(program.warmEndpoint);
  const isLargeEnough = contextTokens >= MINIMUM_MOVE_TOKENS;
  if (!source || source.id === target.id || !isLargeEnough) return;
  const fenceToken = { partition: program.partition, epoch: program.epoch };
  const value = { fence: fenceToken, program: program.id, targetAddress: target.address };
  const options = { progressTimeoutMs: MOVE_TIMEOUT_MS };
  await endpoints.send(source, { case: 'moveContext', value }, options).catch(() => undefined);
}

/** Marks the execution as unknown, for a call that an endpoint may have started. */
function asUnknownExecution(thrown: unknown): CallError {
  const { kind, message, retryAfterMs } = toCallError(thrown);
  return new CallError({ kind, message, retryAfterMs, execution: 'unknown' });
}

function sendCall(
  options: ModelTurnOptions,
  endpoint: Endpoint,
  context: string,
  resumeText: string,
  onText: (text: string) => void,
): Promise<Reply> {
  const { program, body, service, priority, requestId, endpoints } = options;
  const droppedEndpoint = program.recordVisit(endpoint.id);
  if (droppedEndpoint) options.release(droppedEndpoint);
  const value = {
    fence: { partition: program.partition, epoch: program.epoch },
    program: program.id,
    request: requestId,
    context,
    resumeText,
    maximumTokens: body.maximumTokens,
    priority: PRIORITY_RANK[priority],
    deadlineMs: body.deadlineMs,
  };
  const { progressTimeoutMs } = service;
  return endpoints.send(endpoint, { case: 'modelCall', value }, { onText, progressTimeoutMs });
}

/** Checks that the engine's text begins with the emitted text, and emits the rest. */
function resultOf(
  reply: Reply,
  emittedText: string,
  emitText: (text: string) => void,
): ModelTurnResult {
  if (reply.body.case !== 'modelResult') {
    const message = `the agent replied to a model call with an unexpected "${reply.body.case}" message; run the same version of marjorampin on all hosts`;
    throw new CallError({ kind: 'internal', message, execution: 'unknown' });
  }
  const { text, inputTokens, outputTokens, cachedTokens, rebuiltTokens } = reply.body.value;
  if (!text.startsWith(emittedText)) {
    const message =
      "the engine's text does not continue the text sent to the caller; repeat the call";
    throw new CallError({ kind: 'endpoint-failed', message, execution: 'done' });
  }
  if (text.length > emittedText.length) emitText(text.slice(emittedText.length));
  return { text, inputTokens, outputTokens, cachedTokens, rebuiltTokens };
}
