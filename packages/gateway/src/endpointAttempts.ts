import {
  type CallKind,
  type CostedCall,
  type CostFields,
  isHopeless,
  isTooLateToBegin,
  permitPatienceMs,
  type RefusalRequest,
  retryDelayMs,
  type SentOutcome,
  urgencyOf,
} from '@marjorampin/routing';
import type { ByteAccount } from '@marjorampin/http';
import type { EventLog } from '@marjorampin/logging';
import type { Metrics } from '@marjorampin/metrics';
import { CallError, type Clock, type Endpoint, toCallError } from '@marjorampin/types';
import { type CallerRequest, remainingMs } from './callerRequest';
import type { HeaderCodec } from './headerCodec';
import type { AnswerBody } from './answerBody';
import { AttemptHistory } from './attemptHistory';
import { countEvents } from './countEvents';
import type { EndpointChoice } from './endpointChoice';
import type { EndpointCrashes } from './endpointCrashes';
import { type EndpointAnswer, exchangeWithEndpoint } from './endpointExchange';
import type { RateLimits } from './rateLimits';
import type { PriorCrashes, SuspectCalls } from './suspectCalls';

/** Statuses from which callers conclude that their call did not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Options of `EndpointAttempts`. */
export interface EndpointAttemptsOptions {
  choice: EndpointChoice;
  crashes: EndpointCrashes;
  suspects: SuspectCalls;
  rateLimits: RateLimits;
  headerCodec: HeaderCodec;
  /** Counts the bytes that are held of answers. */
  held: ByteAccount;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  /** Milliseconds since the list of endpoints was last confirmed to be current. */
  stalenessMs(): number;
}

/** A call to send to an endpoint of a service, with hints for the choice of the endpoint. */
export interface OutgoingCall {
  service: string;
  body: Buffer;
  warmEndpoint: string;
  contextTokens: number;
  /** Limit of a stream, in bytes, if it is lower than that of all answers. */
  maximumAnswerBytes?: number | undefined;
  /** Returns the id of the last event that was passed on, from which another run can continue. */
  lastEventId?(): string | undefined;
}

/** A call with the way in which it is sent. */
interface SentCall extends OutgoingCall {
  /** Properties from which the call's cost at an endpoint follows. */
  call: CostedCall;
  /** Whether the call may be sent on an idle connection of an earlier call. */
  mayReuseConnection: boolean;
}

/** Processes an answer; an `endpoint-failed` error from it is recorded as the endpoint's failure. */
export type AnswerHandler<T> = (answer: EndpointAnswer, endpoint: Endpoint) => Promise<T>;

/** Sends calls to endpoints; retries failed ones that did not run or whose route is idempotent. */
export class EndpointAttempts {
  private readonly options: EndpointAttemptsOptions;

  constructor(options: EndpointAttemptsOptions) {
    this.options = options;
  }

  /** Sends a call until an answer is accepted, and resolves with the result of `handleAnswer`. */
  async run<T>(
    request: CallerRequest,
    outgoing: OutgoingCall,
    handleAnswer: AnswerHandler<T>,
  ): Promise<T> {
    const { route } = request;
    // A reused connection can fail with an unknown outcome, which ends the caller's program if the
    // call must not be repeated.
    const mayReuseConnection = route.kind !== 'non-idempotent';
    const call = this.describe(request, outgoing);
    const sent = { ...outgoing, call, mayReuseConnection };
    this.refuseIfHopeless(request, sent);
    this.refuseIfTooLateToBegin(request, sent);
    const history = new AttemptHistory(route);
    while (true) {
      const endpoint = await this.chooseEndpoint(request, sent, history);
      // A call that is in progress continues although its key is removed.
      if (!history.mayHaveRun) request.access.renewed();
      this.trace(request, endpoint);
      const priors = this.options.suspects.priorCrashesOf(request.input);
      try {
        return await this.send(request, sent, endpoint, handleAnswer);
      } catch (error) {
        const failure = toCallError(error);
        const isProbed = this.recordInterruption(request, endpoint, failure, priors);
        history.record(failure);
        const isBegun = request.response.headersSent && !route.isResumable;
        const isFinal = request.signal.aborted || isBegun || !history.allowsRepeat(failure);
        if (isFinal || !(await this.hasAllowance(request))) {
          throw history.outcomeOf(this.withRetryDelay(failure, request, sent));
        }
        // The next attempt depends on whether this one crashed its endpoint.
        await isProbed;
        this.options.metrics.count('endpoint_retries_total', { service: outgoing.service });
      }
    }
  }

  private describe(
    { callHeaders, route }: CallerRequest,
    { service, warmEndpoint, contextTokens }: OutgoingCall,
  ): CostedCall {
    return this.options.choice.costs.describe(service, route, {
      ...callHeaders,
      promptTokens: contextTokens,
      session: callHeaders.program?.session ?? '',
      warmEndpoint,
    });
  }

  /** Returns whether the limit of the call's account allows the call to be sent again. */
  private async hasAllowance(request: CallerRequest): Promise<boolean> {
    const { clock, metrics } = this.options;
    const isAllowed = await request.allowance.renew(remainingMs(request, clock));
    if (!isAllowed) metrics.count('allowance_ended_repeats_total');
    return isAllowed;
  }

  /** Throws `overloaded` if no endpoint can answer the call before its deadline. */
  private refuseIfHopeless(request: CallerRequest, outgoing: SentCall): void {
    const { choice, clock } = this.options;
    if (choice.canFinishWithin(outgoing.call, remainingMs(request, clock))) return;
    const waitMs = choice.shortestFinishMs(outgoing.call);
    if (!isHopeless(waitMs, this.refusalOf(request))) return;
    throw this.overloaded(
      `the expected time of ${Math.round(waitMs)} ms at service ${outgoing.service} exceeds the time left`,
      request,
      outgoing,
    );
  }

  /** Throws `overloaded` if the first call of a program would wait so long that the program ends late. */
  private refuseIfTooLateToBegin(request: CallerRequest, outgoing: SentCall): void {
    const { finishMs, program } = request.callHeaders;
    if (finishMs === undefined || !program || isFurtherTurn(request)) return;
    const slotWaitMs = this.options.choice.shortestSlotWaitMs(outgoing.call);
    if (!isTooLateToBegin(slotWaitMs, { finishMs, rank: request.route.rank })) return;
    this.options.metrics.count('new_programs_refused_total', { service: outgoing.service });
    throw this.overloaded(
      `a slot at service ${outgoing.service} is expected after ${Math.round(slotWaitMs)} ms, too late for a new program`,
      request,
      outgoing,
    );
  }

  /** Returns an endpoint to which the call may be sent now; throws if there is none. */
  private async chooseEndpoint(
    request: CallerRequest,
    outgoing: SentCall,
    history: AttemptHistory,
  ): Promise<Endpoint> {
    const { triedIds } = history;
    while (true) {
      const suspectRank = this.checkSuspect(request, outgoing, history);
      const endpoint = this.options.choice.choose({ ...outgoing, triedIds, suspectRank });
      if (!endpoint) throw history.outcomeOf(this.noEndpoint(request, outgoing, triedIds.size));
      triedIds.add(endpoint.id);
      if (await this.awaitPermit(request, endpoint)) return endpoint;
    }
  }

  /** Returns the rank of a suspected input, undefined for any other; throws if it must not be sent. */
  private checkSuspect(
    request: CallerRequest,
    { service }: SentCall,
    history: AttemptHistory,
  ): number | undefined {
    const { choice, suspects, clock } = this.options;
    const { input } = request;
    try {
      suspects.refuseQuarantined(input);
      const rank = suspects.rankOf(input);
      if (rank === undefined) return undefined;
      const endpoints = choice.countEndpoints(service);
      const leftMs = remainingMs(request, clock);
      suspects.refuseUnsafe({ input, service, remainingMs: leftMs, endpoints });
      return rank;
    } catch (error) {
      throw history.outcomeOf(toCallError(error));
    }
  }

  /** Reports an interrupted call; resolves once it is known whether its endpoint crashed. */
  private async recordInterruption(
    { input, route, signal }: CallerRequest,
    endpoint: Endpoint,
    failure: CallError,
    priors: PriorCrashes,
  ): Promise<void> {
    const { crashes, suspects } = this.options;
    const call = () => suspects.suspectOf(input, route.name, priors);
    const isEndpointFailure = failure.kind === 'endpoint-failed';
    if (signal.aborted) {
      if (failure.execution === 'unknown') crashes.recordAbandoned(endpoint, call());
    } else if (isEndpointFailure && failure.execution === 'unknown') {
      await crashes.record(endpoint, call());
    } else if (isEndpointFailure) {
      crashes.recordUnreachable(endpoint);
    }
  }

  /** Waits until the endpoint's rate limit allows the request; returns false if it should be sent to
   * another endpoint instead. */
  private async awaitPermit(request: CallerRequest, endpoint: Endpoint): Promise<boolean> {
    const { choice, rateLimits, clock } = this.options;
    const { signal, trace } = request;
    const patienceMs = permitPatienceMs(this.refusalOf(request));
    const { outcome, waitMs } = await rateLimits.acquire(endpoint, patienceMs);
    if (outcome !== 'granted') return false;
    if (waitMs === 0) return true;
    trace.recordWait(waitMs);
    // An abort is reported when the call is sent.
    await clock.sleep(waitMs, signal).catch(() => undefined);
    return signal.aborted || choice.isAvailable(endpoint);
  }

  private noEndpoint(request: CallerRequest, outgoing: SentCall, triedCount: number): CallError {
    const message = `no endpoint of service ${outgoing.service} can accept the call (${triedCount} tried)`;
    const error = this.overloaded(message, request, outgoing);
    if (triedCount > 0) return error;
    const { retryAfterMs } = error;
    return new CallError({ kind: 'no-endpoint', message: error.message, retryAfterMs });
  }

  /** Adds a retry delay to a refusal by an endpoint. */
  private withRetryDelay(
    failure: CallError,
    request: CallerRequest,
    outgoing: SentCall,
  ): CallError {
    if (failure.kind !== 'overloaded') return failure;
    return this.overloaded(failure.message, request, outgoing);
  }

  private overloaded(reason: string, request: CallerRequest, outgoing: SentCall): CallError {
    const waitMs = this.options.choice.shortestWaitMs(outgoing.call);
    const retryAfterMs = retryDelayMs(waitMs, this.refusalOf(request));
    const message = `${reason}; retry after ${retryAfterMs} ms`;
    return new CallError({ kind: 'overloaded', message, retryAfterMs });
  }

  private refusalOf(request: CallerRequest): RefusalRequest {
    const { callHeaders, route } = request;
    const isCallOfProgram = callHeaders.program !== undefined && route.kind !== 'stream';
    return {
      remainingMs: remainingMs(request, this.options.clock),
      isContinuation: callHeaders.previousTurn !== undefined || isCallOfProgram,
      random: Math.random(),
    };
  }

  /** Returns the order of a stream among the calls of an endpoint; other calls have none. */
  private urgencyOf(request: CallerRequest, { service }: CostedCall): number | undefined {
    const { route, rank, callHeaders } = request;
    if (route.kind !== 'stream') return undefined;
    if (!this.options.choice.costs.decidesAt(service)) return rank;
    const { finishMs } = callHeaders;
    const isContinuation = isFurtherTurn(request);
    return urgencyOf({ rank, routeRank: route.rank, isContinuation, finishMs });
  }

  private recordLimit(request: string, { id, service }: Endpoint, body: AnswerBody): void {
    const { log, metrics } = this.options;
    const { exceeded, bytes } = body;
    if (!exceeded) return;
    metrics.count('endpoint_answers_limited_total', { limit: exceeded.limit });
    log.write('answerBrokenOff', {
      request,
      endpoint: id,
      service,
      answerBytes: bytes,
      ...exceeded,
    });
  }

  private recordCost(
    { trace }: CallerRequest,
    service: string,
    { expectedMs, servedMs, ...others }: CostFields = {},
  ): void {
    if (expectedMs === undefined || servedMs === undefined) return;
    trace.recordCost({ expectedMs, servedMs, ...others });
    this.options.metrics.observe('endpoint_expected', { service }, expectedMs);
    this.options.metrics.observe('endpoint_served', { service }, servedMs);
  }

  private trace({ trace }: CallerRequest, { id }: Endpoint): void {
    const { choice, clock, stalenessMs } = this.options;
    const reportedAtMs = choice.directory.get(id)?.reportedAtMs;
    trace.recordChoice({
      endpoint: id,
      loadAgeMs: reportedAtMs && Math.round(clock.now() - reportedAtMs),
      listAgeMs: Math.round(stalenessMs()),
    });
  }

  private async send<T>(
    request: CallerRequest,
    { body, service, call, lastEventId, mayReuseConnection, maximumAnswerBytes }: SentCall,
    endpoint: Endpoint,
    handleAnswer: AnswerHandler<T>,
  ): Promise<T> {
    const { choice, suspects, rateLimits, headerCodec, held, clock, log, metrics } = this.options;
    const { message, route, access, callHeaders, input, signal, trace } = request;
    const leftMs = remainingMs(request, clock);
    const headers = headerCodec.writeCall(message.rawHeaders, {
      endpoint,
      remainingMs: leftMs,
      urgency: this.urgencyOf(request, call),
      lastEventId: lastEventId?.(),
      account: access.forwarded,
      bodyBytes: body.length > 0 || message.method !== 'GET' ? body.length : undefined,
    });
    const { directory } = choice;
    const sentAtMs = clock.now();
    directory.callStarted(endpoint.id);
    const tracked = choice.begin(endpoint, call);
    let outcome: SentOutcome = 'other';
    rateLimits.recordSend(endpoint, trace.sendCount > 1);
    const isSuspected = suspects.rankOf(input) !== undefined;
    const endTrial = isSuspected ? suspects.begin(input) : undefined;
    let answer: EndpointAnswer | undefined;
    request.allowance.spend();
    try {
      answer = await exchangeWithEndpoint(
        {
          endpoint,
          method: message.method ?? 'GET',
          target: message.url ?? '/',
          headers,
          body,
          requestId: callHeaders.requestId,
          signal,
          mayReuseConnection,
          expectsEvents: route.kind === 'stream',
          held,
          maximumAnswerBytes,
          onChunk: (chunk) => tracked?.recordEvents(countEvents(chunk)),
        },
        headerCodec,
      );
      tracked?.recordAnswer();
      trace.recordAnswer(answer.body);
      choice.recordAnswer(endpoint, answer.parsedHeaders, answer.status);
      rateLimits.recordAnswer(endpoint, answer, sentAtMs);
      const { load } = answer.parsedHeaders;
      if (load) tracked?.recordQueued(load.queued);
      checkAnswer(answer, endpoint);
      const result = await handleAnswer(answer, endpoint);
      suspects.recordAnswer(input);
      outcome = outcomeOf(answer, route.kind);
      return result;
    } catch (error) {
      const failure = toCallError(error);
      const isRefused = answer === undefined || answer.parsedHeaders.isNotRun;
      if (isRefused && failure.execution === 'not-run') request.allowance.restore();
      if (failure.kind === 'endpoint-failed') {
        choice.recordFailure(endpoint);
        if (!signal.aborted) outcome = 'failed';
      }
      if (answer?.body.exceeded) this.recordLimit(callHeaders.requestId, endpoint, answer.body);
      if (!signal.aborted) {
        log.write('sendFailed', {
          request: callHeaders.requestId,
          endpoint: endpoint.id,
          service,
          kind: failure.kind,
          execution: failure.execution,
          leftMs: Math.round(leftMs),
          ...trace.answerFields,
          reason: failure.message,
        });
      }
      throw failure;
    } finally {
      answer?.body.release();
      endTrial?.();
      directory.callFinished(endpoint.id);
      tracked?.end(outcome);
      this.recordCost(request, service, tracked?.fields);
      metrics.count('endpoint_answers_total', trace.answerLabels);
    }
  }
}

/** Returns how a call ended whose answer was passed on. A plain service answers with 500 also if the call
 * is at fault, an engine only if it fails itself. */
function outcomeOf({ status }: EndpointAnswer, kind: CallKind): SentOutcome {
  if (status >= 200 && status < 300) return 'answered';
  return kind === 'stream' && status >= 500 ? 'failed' : 'other';
}

/** Returns whether a call belongs to a program in progress: it continues a turn, or this process has served an
 * earlier call of the program. */
function isFurtherTurn({ callHeaders, isProgramKnown }: CallerRequest): boolean {
  return callHeaders.previousTurn !== undefined || isProgramKnown;
}

/** Throws if the answer must not be passed on to the caller. */
function checkAnswer({ status, parsedHeaders, body }: EndpointAnswer, endpoint: Endpoint): void {
  if (parsedHeaders.isNotRun) {
    body.destroy();
    throw new CallError({
      kind: 'overloaded',
      message: `endpoint ${endpoint.id} refused the call with status ${status}`,
    });
  }
  // From such a status, callers would conclude that the call did not run, although the endpoint has
  // not stated this in its headers.
  const impliesNotRun = NOT_RUN_STATUSES.has(status);
  if (!impliesNotRun && (parsedHeaders.isGenuine || status < 200 || status >= 300)) return;
  body.destroy();
  throw new CallError({
    kind: 'endpoint-failed',
    message: `endpoint ${endpoint.id} answered with status ${status} but without the headers that confirm it; check the endpoint`,
    execution: 'unknown',
  });
}
