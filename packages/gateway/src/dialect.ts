import type { CallError, Endpoint } from '@marjorampin/types';

/** Header names and values in turn, as they stand in a message. */
export type RawHeaders = string[];

/** The program that a call belongs to. */
export interface ProgramTerms {
  id: string;
  session: string;
  /** Tokens that all turns of the program may generate. */
  tokenBudget: number | undefined;
}

/** What the headers of a call say. */
export interface CallTerms {
  requestId: string;
  /** Milliseconds that the caller waits. */
  deadlineMs: number | undefined;
  program: ProgramTerms | undefined;
  /** Turn that this one continues. */
  previousTurn: string | undefined;
  promptTokens: number;
  /** The most tokens that the call can generate. */
  maximumTokens: number;
}

/** What an endpoint gets besides the caller's own headers. */
export interface SendTerms {
  endpoint: Endpoint;
  /** Milliseconds after which nobody waits for the answer. */
  remainingMs: number;
  /** Order among the endpoint's calls; 0 comes first. */
  urgency: number | undefined;
  bodyBytes: number | undefined;
}

/** Load as an endpoint reports it with an answer. */
export interface AnswerLoad {
  running: number;
  queued: number;
}

/** What the headers of an answer say. */
export interface AnswerTerms {
  /** The call that the answer belongs to; undefined when it does not say, which proves nothing. */
  requestId: string | undefined;
  /** It bears the endpoint's mark of origin. */
  isGenuine: boolean;
  /** The endpoint says that the call did not run and never will. */
  isNotRun: boolean;
  load: AnswerLoad | undefined;
}

/** How calls and answers are spelled towards callers and endpoints. */
export abstract class Dialect {
  /** Returns the id of a call, also where its other headers are wrong. */
  abstract requestIdOf(headers: RawHeaders): string | undefined;

  /** Reads a caller's headers; throws `invalid-request`. */
  abstract readCall(headers: RawHeaders): CallTerms;

  /** Returns the headers for an endpoint. */
  abstract writeCall(headers: RawHeaders, terms: SendTerms): RawHeaders;

  /** Reads an endpoint's headers. */
  abstract readAnswer(status: number, headers: RawHeaders): AnswerTerms;

  /** Returns the endpoint's headers as the caller gets them. */
  abstract writeAnswer(headers: RawHeaders): RawHeaders;

  /** Returns the headers of an error of the gateway's own. */
  abstract writeError(error: CallError, requestId: string | undefined): RawHeaders;
}
