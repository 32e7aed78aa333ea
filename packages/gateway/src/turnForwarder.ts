import { create } from '@bufbuild/protobuf';
import { type TurnRecord, TurnRecordSchema } from '@marjorampin/protocol';
import { pickService, type RoutedService } from '@marjorampin/routing';
import type { TurnReservation, TurnStore } from '@marjorampin/turns';
import { CallError, type Endpoint, toCallError } from '@marjorampin/types';
import { bufferAnswer, relayStream, sendBufferedAnswer } from './answerRelay';
import type { CallerRequest } from './callerRequest';
import type { Dialect, ProgramTerms } from './dialect';
import type { EndpointAttempts } from './endpointAttempts';
import type { EndpointAnswer } from './endpointExchange';
import { EventReader } from './eventReader';

/** Turns are kept longer than promised by what clocks may jump and a restart may take. */
const RETENTION_MARGIN_MS = 20_000;

/** Hexadecimal digits of a session's id that decide its share: finer than any weight. */
const SESSION_DIGITS = 6;

/** What forwarding turns needs. */
export interface TurnForwarderOptions {
  attempts: EndpointAttempts;
  dialect: Dialect;
  turns: TurnStore;
}

/** A turn that is under way. */
interface OpenTurn {
  request: CallerRequest;
  program: ProgramTerms;
  reservation: TurnReservation;
  chain: TurnRecord[];
  tokensPerEvent: number;
}

/** Forwards turns whose earlier inputs and outputs the system keeps. */
export class TurnForwarder {
  private readonly options: TurnForwarderOptions;

  constructor(options: TurnForwarderOptions) {
    this.options = options;
  }

  /** Answers the caller; a turn that can't be kept ends without its end. */
  async forward(
    request: CallerRequest,
    program: ProgramTerms,
    findService: (name: string) => RoutedService | undefined,
  ): Promise<void> {
    const { route, terms, body } = request;
    const service = pickService(route.destinations, sessionPoint(program.session)) ?? '';
    const reservation: TurnReservation = {
      program: program.id,
      turn: terms.requestId,
      tokens: terms.maximumTokens,
      budget: program.tokenBudget ?? Infinity,
      previous: terms.previousTurn,
      retentionMs: (route.retentionMs ?? 0) + RETENTION_MARGIN_MS,
    };
    const chain = await this.options.turns.reserve(reservation);
    const tokensPerEvent = findService(service)?.engine?.tokensPerEvent ?? 1;
    const turn: OpenTurn = { request, program, reservation, chain, tokensPerEvent };
    const context = chain.flatMap(({ input, output }) => [input, output]);
    const outgoing = {
      service,
      body: Buffer.concat([...context, body]),
      warmEndpoint: chain.at(-1)?.endpoint ?? '',
      contextTokens: terms.promptTokens,
    };
    let wasAnswered = false;
    try {
      await this.options.attempts.run(request, outgoing, (answer, endpoint) => {
        wasAnswered = true;
        return this.handleAnswer(turn, answer, endpoint);
      });
    } catch (error) {
      // What ran without an answer stays reserved as a whole: it may have used all of it.
      const didNotRun = error instanceof CallError && error.execution === 'not-run';
      if (!wasAnswered && didNotRun) this.options.turns.settle(reservation, 0);
      throw error;
    }
  }

  private async handleAnswer(turn: OpenTurn, answer: EndpointAnswer, endpoint: Endpoint): Promise<void> {
    const { dialect, turns } = this.options;
    const { response } = turn.request;
    if (answer.status !== 200) {
      const answerBody = await bufferAnswer(answer);
      turns.settle(turn.reservation, 0);
      sendBufferedAnswer(response, answer, answerBody, dialect);
      return;
    }
    const events = new EventReader();
    try {
      await relayStream(response, answer, dialect, (part) => events.read(part));
      await turns.commit(createTurnRecord(turn, events, endpoint)).catch(throwNotStored);
    } catch (error) {
      turns.settle(turn.reservation, events.startedCount * turn.tokensPerEvent);
      throw error;
    }
    response.end();
  }
}

function createTurnRecord(
  { request, program, reservation, chain, tokensPerEvent }: OpenTurn,
  events: EventReader,
  endpoint: Endpoint,
): TurnRecord {
  const last = chain.at(-1);
  return create(TurnRecordSchema, {
    turn: request.terms.requestId,
    program: program.id,
    ancestors: last ? [...last.ancestors, last.turn] : [],
    input: request.body,
    output: events.output,
    outputTokens: events.startedCount * tokensPerEvent,
    endpoint: endpoint.id,
    retentionMs: reservation.retentionMs,
  });
}

/** The endpoint was done with the turn, whatever the keepers' error says of their own request. */
function throwNotStored(error: unknown): never {
  const { kind, message, retryAfterMs } = toCallError(error);
  throw new CallError({ kind, message, retryAfterMs, execution: 'done' });
}

/** Returns a point between 0 and 1 that stays the same for a line of turns. */
function sessionPoint(session: string): number {
  const digits = session.slice(-SESSION_DIGITS);
  const parsed = Number.parseInt(digits, 16);
  return Number.isNaN(parsed) ? Math.random() : parsed / 16 ** digits.length;
}
