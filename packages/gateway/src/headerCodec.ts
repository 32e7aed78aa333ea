import type { Credential } from '@marjorampin/accounts';
import type { StatedRateLimit } from '@marjorampin/routing';
import type { CallError, Endpoint } from '@marjorampin/types';

/** Alternating header names and values, in the order of the message. */
export type RawHeaders = string[];

/** Contents of the headers that state the program of a call. */
export interface ProgramHeaders {
  id: string;
  /** Id of the session; all its turns go to the same destination of a route. */
  session: string;
  /** Maximum number of tokens that all turns of the program may generate together. */
  tokenBudget: number | undefined;
}

/** A part of a prompt, which other calls may share. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** Contents of a call's headers. */
export interface CallHeaders {
  requestId: string;
  /** Milliseconds for which the caller waits; undefined when it states no limit. */
  deadlineMs: number | undefined;
  program: ProgramHeaders | undefined;
  /** Id of the turn that this one continues. */
  previousTurn: string | undefined;
  promptTokens: number;
  /** Maximum number of tokens that the call may generate. */
  maximumTokens: number;
  /** Number of tokens that the caller expects the call to generate; undefined if it states none. */
  expectedTokens?: number | undefined;
  /** Parts of the prompt in order; empty if the caller states none. */
  promptParts?: PromptPart[];
  /** Milliseconds until the call's program should have ended; undefined if the caller states no time. */
  finishMs?: number | undefined;
  /** Key of the object that the call concerns; undefined if the caller states none. */
  affinityKey?: string | undefined;
}

/** Account of a forwarded call. */
export interface ForwardedAccount {
  /** Undefined for a call without an account. */
  name: string | undefined;
}

/** Values of the headers that the gateway adds to a forwarded call. */
export interface ForwardedHeaders {
  endpoint: Endpoint;
  /** Milliseconds until the call's deadline. */
  remainingMs: number;
  /** Order among the endpoint's calls, 0 first; undefined when the call has none. */
  urgency: number | undefined;
  /** Id of the last event of an interrupted stream that this call continues; undefined to keep the
   * one that the caller sent, if any. */
  lastEventId: string | undefined;
  /** Account that the endpoint is told; undefined if callers' own headers are forwarded instead, because no
   * accounts are configured. */
  account: ForwardedAccount | undefined;
  /** Length of the body; undefined for a call without one. */
  bodyBytes: number | undefined;
}

/** Load that an endpoint reports with an answer. */
export interface AnswerLoad {
  /** Number of running calls. */
  running: number;
  /** Number of queued calls. */
  queued: number;
  /** Number of calls that the endpoint runs at once. */
  slots: number;
  /** How long work takes on the endpoint's host at the moment, as a multiple of the usual time; undefined if it
   * is not stated. */
  slowdown?: number | undefined;
}

/** Contents of an answer's headers. */
export interface AnswerHeaders {
  /** Ids of the calls that the answer names; empty if it names none. */
  requestIds: string[];
  /** Whether the answer proves that it comes from the endpoint. */
  isGenuine: boolean;
  /** Whether the endpoint states that the call did not run and never will. */
  isNotRun: boolean;
  load: AnswerLoad | undefined;
  /** Whether the endpoint is shutting down and must not get new calls. */
  isLeaving: boolean;
  /** Limit on the requests that the endpoint gets from all hosts together. */
  rateLimit: StatedRateLimit;
}

/** Reads and writes the headers exchanged with callers and endpoints. */
export abstract class HeaderCodec {
  /** Returns the id of a call, even when its other headers are invalid. */
  abstract requestIdOf(headers: RawHeaders): string | undefined;

  /** Reads the headers of a caller's call; throws `invalid-request`. */
  abstract readCall(headers: RawHeaders): CallHeaders;

  /** Reads the API key of a caller's call. */
  abstract readCredential(headers: RawHeaders): Credential;

  /** Returns the headers with which a call is forwarded to an endpoint. */
  abstract writeCall(headers: RawHeaders, added: ForwardedHeaders): RawHeaders;

  /** Reads the headers of an endpoint's answer. */
  abstract readAnswer(status: number, headers: RawHeaders): AnswerHeaders;

  /** Returns the headers with which an answer is forwarded to the caller. */
  abstract writeAnswer(headers: RawHeaders): RawHeaders;

  /** Returns the headers of an error response that the gateway itself produces. */
  abstract writeError(error: CallError, requestId: string | undefined): RawHeaders;
}
