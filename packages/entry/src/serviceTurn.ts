import { createLedgerRecord, type LedgerRecord } from '@marjorampin/ledger';
import type { EventLog } from '@marjorampin/logging';
import {
  CallError,
  type Clock,
  sha256Hex,
  type Endpoint,
  type Priority,
  type Service,
  toCallError,
} from '@marjorampin/types';
import type { ServiceCallBody } from './calls';
import type { EndpointClient } from './endpointDispatcher';
import type { Ledger } from './ledgerClient';
import type { Program } from './program';
import { replaceNotRun } from './replaceNotRun';

/**
 * Maximum number of rounds of a call. A round of an at-most-once call records an intent, sends the
 * call and, if that fails, resolves whether it ran.
 */
const MAXIMUM_ROUNDS = 8;
/** Delay after the first round; grows by this much with each further round. */
const ROUND_DELAY_STEP_MS = 40;

/** An agent that does not answer a void request in this time counts as unreachable. */
const VOID_TIMEOUT_MS = 3_000;

/**
 * Retry delay sent to callers while an agent is unreachable. It gives the agent time to restart,
 * since no other process can prove whether the call ran.
 */
const UNREACHABLE_RETRY_MS = 5_000;

/** Options of `ServiceTurn`. */
export interface ServiceTurnOptions {
  program: Program;
  body: ServiceCallBody;
  service: Service;
  priority: Priority;
  endpoints: EndpointClient;
  ledger: Ledger;
  clock: Clock;
  log: EventLog;
  /** Whether an earlier request may have run this call, unless the ledger proves otherwise. */
  mayHaveRunBefore: boolean;
}

/** Status and body that the service returned. */
export interface ServiceTurnResult {
  status: number;
  body: string;
}

/** Result of a round: the service's answer, or the attempt number for the next round. */
type RoundResult = { result: ServiceTurnResult } | { nextAttempt: number };

/** Returns the ledger key of a service call. */
export function serviceCallKey(customer: string, { service, idempotencyKey }: ServiceCallBody) {
  return `call/${customer}/${service}/${idempotencyKey}`;
}

/** Runs one service call; unless its operation is idempotent, it is executed at most once. */
export class ServiceTurn {
  private readonly options: ServiceTurnOptions;

  private readonly key: string;

  private readonly requestDigest: string;

  private readonly bodyText: string;

  private isLedgerRead = false;

  constructor(options: ServiceTurnOptions) {
    this.options = options;
    const { body, program } = options;
    this.key = serviceCallKey(program.customer, body);
    this.bodyText = JSON.stringify(body.body);
    this.requestDigest = sha256Hex(JSON.stringify([body.operation, this.bodyText]));
  }

  /** Returns the service's answer. For a call that runs at most once, a thrown error has the
   * execution `not-run` only if this is proven. */
  async run(): Promise<ServiceTurnResult> {
    const { service, body } = this.options;
    if (service.idempotentOperations.includes(body.operation)) return this.runIdempotent();
    try {
      return await this.runAtMostOnce();
    } catch (thrown) {
      throw this.replaceUnprovenNotRun(toCallError(thrown));
    }
  }

  private async runAtMostOnce(): Promise<ServiceTurnResult> {
    const { service } = this.options;
    let attempt = 1;
    for (let round = 1; round <= MAXIMUM_ROUNDS; round += 1) {
      const outcome = await this.runRound(attempt);
      if ('result' in outcome) return outcome.result;
      attempt = outcome.nextAttempt;
      await this.options.clock.sleep(ROUND_DELAY_STEP_MS * round);
    }
    const message = `no endpoint of "${service.name}" accepted the call; retry later with the same idempotency key`;
    throw new CallError({ kind: 'no-endpoint', message, retryAfterMs: 2_000 });
  }

  /** Replaces "not-run" with "unknown" if the ledger is unread and the call may have run before. */
  private replaceUnprovenNotRun(error: CallError): CallError {
    const isProven = this.isLedgerRead || !this.options.mayHaveRunBefore;
    return isProven ? error : replaceNotRun(error);
  }

  private async runIdempotent(): Promise<ServiceTurnResult> {
    let mayHaveRun = false;
    try {
      return await this.tryEndpoints(({ execution }) => {
        mayHaveRun ||= execution !== 'not-run';
      });
    } catch (thrown) {
      const error = toCallError(thrown);
      throw mayHaveRun ? replaceNotRun(error) : error;
    }
  }

  /** Sends an idempotent call to one endpoint after the other until one answers. */
  private async tryEndpoints(onFailure: (error: CallError) => void): Promise<ServiceTurnResult> {
    const tried = new Set<string>();
    for (let round = 1; ; round += 1) {
      const endpoint = await this.chooseEndpoint(tried);
      try {
        return await this.dispatch(endpoint, round, true);
      } catch (thrown) {
        const error = toCallError(thrown);
        onFailure(error);
        if (round >= MAXIMUM_ROUNDS || error.kind === 'stale-epoch') throw error;
        tried.add(endpoint.id);
        await this.options.clock.sleep(ROUND_DELAY_STEP_MS * round);
      }
    }
  }

  private async runRound(attempt: number): Promise<RoundResult> {
    const endpoint = await this.chooseEndpoint(new Set());
    const intent = this.createIntent('intent', attempt, endpoint);
    const appended = await this.options.ledger.append(intent);
    if (appended.err) throw appended.val;
    this.isLedgerRead = true;
    const [existing] = appended.val.conflictingRecords;
    if (!appended.val.appended) return this.resolveExisting(existing, attempt);
    try {
      const result = await this.dispatch(endpoint, attempt, false);
      this.recordOutcome(intent, result);
      return { result };
    } catch (thrown) {
      return this.resolveFailure(intent, toCallError(thrown));
    }
  }

  /** Continues from the record that the ledger already has for the key. */
  private async resolveExisting(
    existing: LedgerRecord | undefined,
    attempt: number,
  ): Promise<RoundResult> {
    if (!existing) return { nextAttempt: 1 };
    if (existing.requestDigest !== this.requestDigest) throw keyReused();
    switch (existing.kind) {
      case 'outcome':
        return { result: { status: existing.status, body: existing.body } };
      case 'unknown':
        throw this.permanentlyUnknown();
      case 'not-run':
        return { nextAttempt: existing.attempt + 1 };
      case 'intent':
        return this.resolveIntent(existing);
      default:
        return { nextAttempt: attempt };
    }
  }

  private async resolveFailure(intent: LedgerRecord, error: CallError): Promise<RoundResult> {
    // The agent refused the stale epoch; the new owner voids the intent.
    if (error.kind === 'stale-epoch') throw error;
    // Another request voided the intent and records that the call did not run.
    if (error.kind === 'voided') return { nextAttempt: intent.attempt };
    if (error.execution === 'not-run') return this.recordNotRun(intent);
    return this.resolveIntent(intent);
  }

  /** Voids the call at the agent named in an intent, or gets the outcome if it has started. */
  private async resolveIntent(intent: LedgerRecord): Promise<RoundResult> {
    const { endpoints } = this.options;
    const current = endpoints.get(intent.endpoint);
    if (!current || current.incarnation !== intent.incarnation) return this.recordUnknown(intent);
    const value = {
      fence: this.fenceToken(),
      key: this.key,
      attempt: intent.attempt,
      incarnation: intent.incarnation,
    };
    const options = { progressTimeoutMs: VOID_TIMEOUT_MS };
    const reply = await endpoints
      .send(current, { case: 'voidCall', value }, options)
      .catch((thrown: unknown) => {
        const error = toCallError(thrown);
        // The call may have reached the agent before the newer owner's first request.
        if (error.kind === 'stale-epoch') throw supersededUnknown(error.message);
        return undefined;
      });
    if (reply?.body.case !== 'voidResult') throw temporarilyUnknown();
    const { outcome, result } = reply.body.value;
    if (outcome === 'refused') return this.recordNotRun(intent);
    if (outcome !== 'done' || !result) return this.recordUnknown(intent);
    const { status, body } = result;
    this.recordOutcome(intent, { status, body });
    return { result: { status, body } };
  }

  private async recordNotRun(intent: LedgerRecord): Promise<RoundResult> {
    this.options.log.write('callVoided', { key: this.key, attempt: intent.attempt });
    const appended = await this.options.ledger.append({ ...intent, kind: 'not-run' });
    if (appended.err) throw appended.val;
    return { nextAttempt: intent.attempt + 1 };
  }

  private async recordUnknown(intent: LedgerRecord): Promise<RoundResult> {
    const { endpoint, attempt } = intent;
    this.options.log.write('outcomeUnknown', { key: this.key, endpoint, attempt });
    const appended = await this.options.ledger.append({ ...intent, kind: 'unknown' });
    const [existing] = appended.ok ? appended.val.conflictingRecords : [];
    if (appended.ok && !appended.val.appended && existing?.kind === 'outcome') {
      return { result: { status: existing.status, body: existing.body } };
    }
    throw this.permanentlyUnknown();
  }

  /** Records the outcome in the background, after which the agent may discard it. */
  private async recordOutcome(intent: LedgerRecord, result: ServiceTurnResult): Promise<void> {
    const { ledger, endpoints } = this.options;
    const appended = await ledger.append({ ...intent, kind: 'outcome', ...result });
    const endpoint = endpoints.get(intent.endpoint);
    if (appended.err || !appended.val.appended) return;
    if (endpoint?.incarnation !== intent.incarnation) return;
    const value = { keys: [`${this.key}#${intent.attempt}`] };
    const options = { progressTimeoutMs: VOID_TIMEOUT_MS };
    await endpoints.send(endpoint, { case: 'settleCalls', value }, options).catch(() => undefined);
  }

  private async dispatch(
    endpoint: Endpoint,
    attempt: number,
    idempotent: boolean,
  ): Promise<ServiceTurnResult> {
    const { program, body, service, endpoints } = this.options;
    const value = {
      fence: this.fenceToken(),
      program: program.id,
      key: this.key,
      attempt,
      incarnation: endpoint.incarnation,
      operation: body.operation,
      body: this.bodyText,
      idempotent,
      deadlineMs: body.deadlineMs,
    };
    const progressTimeoutMs = Math.min(body.deadlineMs, service.progressTimeoutMs);
    const options = { progressTimeoutMs };
    const reply = await endpoints.send(endpoint, { case: 'serviceCall', value }, options);
    if (reply.body.case !== 'serviceResult') {
      const message = `the agent replied to a service call with an unexpected "${reply.body.case}" message; run the same version of marjorampin on all hosts`;
      throw new CallError({ kind: 'internal', message, execution: 'unknown' });
    }
    return { status: reply.body.value.status, body: reply.body.value.body };
  }

  private chooseEndpoint(tried: Set<string>): Promise<Endpoint> {
    const { endpoints, body } = this.options;
    const { priority } = this.options;
    const request = { warmEndpoint: '', contextTokens: 0, wastedCachePriceMs: 0, priority };
    return endpoints.choose(body.service, request, tried);
  }

  private createIntent(kind: 'intent', attempt: number, endpoint: Endpoint): LedgerRecord {
    const { program } = this.options;
    return createLedgerRecord({
      key: this.key,
      kind,
      program: program.id,
      epoch: program.epoch,
      attempt,
      endpoint: endpoint.id,
      incarnation: endpoint.incarnation,
      requestDigest: this.requestDigest,
    });
  }

  private fenceToken() {
    const { partition, epoch } = this.options.program;
    return { partition, epoch };
  }

  private permanentlyUnknown(): CallError {
    const message = `the endpoint of this call was replaced before it answered, so the call may have run and is not repeated; check with the service under key "${this.options.body.idempotencyKey}"`;
    return new CallError({ kind: 'outcome-unknown', message, execution: 'unknown' });
  }
}

function keyReused(): CallError {
  const message = `the idempotency key was already used for another request; use a new key for a new request`;
  return new CallError({ kind: 'key-reused', message });
}

function temporarilyUnknown(): CallError {
  const message =
    'the endpoint did not report whether the call ran; repeat the call with the same key';
  const retryAfterMs = UNREACHABLE_RETRY_MS;
  return new CallError({ kind: 'outcome-unknown', message, execution: 'unknown', retryAfterMs });
}

function supersededUnknown(reason: string): CallError {
  const message = `${reason}; the new owner determines whether the call ran`;
  return new CallError({ kind: 'stale-epoch', message, execution: 'unknown', retryAfterMs: 100 });
}
