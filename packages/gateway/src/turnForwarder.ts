import { create } from '@bufbuild/protobuf';
import { type TurnRecord, TurnRecordSchema } from '@marjorampin/protocol';
import { pickService, type RoutedService } from '@marjorampin/routing';
import { RETENTION_MARGIN_MS, type TurnReservation, type TurnStore } from '@marjorampin/turns';
import { CallError, type Endpoint, toCallError } from '@marjorampin/types';
import { holdUnsent, relayAnswer, type RelayContext, relayStream } from './answerRelay';
import type { CallerRequest } from './callerRequest';
import type { ProgramHeaders } from './headerCodec';
import { inputsTooLarge } from './gatewayErrors';
import type { EndpointAttempts } from './endpointAttempts';
import type { EndpointAnswer } from './endpointExchange';
import { EventReader } from './eventReader';

/** Number of trailing hexadecimal digits of a session id that select its destination; they give a
 * finer resolution than any weight needs. */
const SESSION_DIGITS = 6;

/** Size up to which an event of a turn is expected: the text of its tokens with what an engine adds. */
const EXPECTED_EVENT_BYTES = 4 * 1024;

/** Events that a stream may have besides those with tokens, for example one that announces its end. */
const FURTHER_EVENTS = 16;

/** Options of `TurnForwarder`. */
export interface TurnForwarderOptions extends RelayContext {
  attempts: EndpointAttempts;
  turns: TurnStore;
}

/** A turn in progress. */
interface OpenTurn {
  request: CallerRequest;
  program: ProgramHeaders;
  reservation: TurnReservation;
  /** The turns that this one continues, oldest first. */
  chain: TurnRecord[];
  tokensPerEvent: number;
  /** Undefined if the turn reserves no tokens. */
  maximumEvents: number | undefined;
  /** Events passed on to the caller, by all runs of a resumed stream. */
  events: EventReader;
}

/** Forwards turns of programs and accounts their tokens. On a route that stores turns, a turn is sent
 * together with the inputs and outputs of the turns that it continues. */
export class TurnForwarder {
  private readonly options: TurnForwarderOptions;

  constructor(options: TurnForwarderOptions) {
    this.options = options;
  }

  /** Forwards a turn and relays its answer; does not complete the answer if storing the turn fails. */
  async forward(
    request: CallerRequest,
    program: ProgramHeaders,
    findService: (name: string) => RoutedService | undefined,
  ): Promise<void> {
    const { route, callHeaders, body, access } = request;
    const service = pickService(route.destinations, sessionPoint(program.session)) ?? '';
    const reservation: TurnReservation = {
      program: program.id,
      turn: callHeaders.requestId,
      tokens: callHeaders.maximumTokens,
      budget: program.tokenBudget ?? Infinity,
      previous: route.storesTurns ? callHeaders.previousTurn : undefined,
      retentionMs: route.retentionMs + route.timeoutMs + RETENTION_MARGIN_MS,
      account: access.forwarded && (access.forwarded.name ?? ''),
    };
    const chain = await this.options.turns.reserve(reservation);
    const tokensPerEvent = findService(service)?.engine?.tokensPerEvent ?? 1;
    const events = new EventReader({ keepsOutput: route.storesTurns });
    const maximumEvents = maximumEventsOf(reservation.tokens, tokensPerEvent);
    const turn: OpenTurn = {
      request,
      program,
      reservation,
      chain,
      tokensPerEvent,
      maximumEvents,
      events,
    };
    const context = chain.flatMap(({ input, output }) => [input, output]);
    const outgoing = {
      service,
      body: context.length > 0 ? Buffer.concat([...context, body]) : body,
      maximumAnswerBytes: maximumEvents && maximumEvents * EXPECTED_EVENT_BYTES,
      warmEndpoint: chain.at(-1)?.endpoint ?? '',
      contextTokens: callHeaders.promptTokens,
      lastEventId: () => events.lastEventId,
    };
    const inputBytes = body.length + outgoing.body.length;
    let wasAnswered = false;
    try {
      const isAdmitted = context.length === 0 || (request.holding?.grow(inputBytes) ?? true);
      if (!isAdmitted) throw inputsTooLarge(this.options.held);
      await this.options.attempts.run(request, outgoing, (answer, endpoint) => {
        wasAnswered = true;
        return this.handleAnswer(turn, answer, endpoint);
      });
    } catch (error) {
      // A turn without an answer that may have run keeps its whole reservation, as it may have used
      // all of it. The settlement is final, so it waits until no other run can continue the stream.
      const didNotRun = error instanceof CallError && error.execution === 'not-run';
      if (wasAnswered || didNotRun) this.options.turns.settle(reservation, usedTokens(turn));
      throw error;
    }
  }

  private async handleAnswer(
    turn: OpenTurn,
    answer: EndpointAnswer,
    endpoint: Endpoint,
  ): Promise<void> {
    const { turns, held } = this.options;
    const { response } = turn.request;
    if (answer.status !== 200 && !response.headersSent) {
      await relayAnswer(response, answer, this.options);
      turns.settle(turn.reservation, 0);
      return;
    }
    await relayStream(response, answer, this.options, {
      isResumable: turn.request.route.isResumable,
      events: turn.events,
      maximumEvents: turn.maximumEvents,
    });
    await this.finish(turn, endpoint);
    response.end();
    holdUnsent(response, held);
  }

  /** Stores a completed turn, or only the tokens that it used if its route does not store turns. */
  private async finish(turn: OpenTurn, endpoint: Endpoint): Promise<void> {
    const { turns } = this.options;
    const { route, deadlineMs, signal } = turn.request;
    if (route.storesTurns) {
      const options = { chain: turn.chain, deadlineMs, signal };
      await turns.commit(createTurnRecord(turn, endpoint), options).catch(throwNotStored);
      return;
    }
    // The answer doesn't wait for this: until it is stored, the larger reservation counts.
    turns.settle(turn.reservation, usedTokens(turn));
  }
}

/** Returns the tokens of the events that were passed on to the caller. */
function usedTokens({ events, tokensPerEvent }: OpenTurn): number {
  return Math.ceil(events.startedCount * tokensPerEvent);
}

/** Returns the number of events that a turn with these reserved tokens doesn't exceed; undefined if it
 * reserves none. */
function maximumEventsOf(tokens: number, tokensPerEvent: number): number | undefined {
  return tokens === 0 ? undefined : Math.ceil(tokens / tokensPerEvent) + FURTHER_EVENTS;
}

function createTurnRecord(turn: OpenTurn, endpoint: Endpoint): TurnRecord {
  const { request, program, reservation, chain, events } = turn;
  const last = chain.at(-1);
  return create(TurnRecordSchema, {
    turn: request.callHeaders.requestId,
    program: program.id,
    ancestors: last ? [...last.ancestors, last.turn] : [],
    input: request.body,
    output: events.output,
    outputTokens: usedTokens(turn),
    endpoint: endpoint.id,
    retentionMs: reservation.retentionMs,
    account: reservation.account ?? '',
  });
}

/**
 * Rethrows an error from storing a turn, with execution `done` because the endpoint has run the turn;
 * the execution in the original error is that of the request to the keepers.
 */
function throwNotStored(error: unknown): never {
  const { kind, message, retryAfterMs } = toCallError(error);
  throw new CallError({ kind, message, retryAfterMs, execution: 'done' });
}

/** Returns the point from 0 to 1 at which a service is picked: the same for all turns of a session,
 * random if the session id is not hexadecimal. */
function sessionPoint(session: string): number {
  const digits = session.slice(-SESSION_DIGITS);
  const parsed = Number.parseInt(digits, 16);
  return Number.isNaN(parsed) ? Math.random() : parsed / 16 ** digits.length;
}
