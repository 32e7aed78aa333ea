import * as z from 'zod';

/** Longest text of one request, in characters. */
export const MAXIMUM_REQUEST_CHARACTERS = 1_000_000;

const MAXIMUM_OUTPUT_TOKENS = 100_000;
const MAXIMUM_CONTINUATION_CHARACTERS = 4_096;

const text = z.string().max(MAXIMUM_REQUEST_CHARACTERS);
const continuation = z.string().max(MAXIMUM_CONTINUATION_CHARACTERS);
const identifier = z.string().min(1).max(128);

const transcriptTurn = z.strictObject({
  program: z.string(),
  turn: z.number().int().positive(),
  kind: z.enum(['model', 'service', 'spawn', 'end']),
  requestDigest: z.string(),
  request: text,
  answer: text,
  previousDigest: z.string(),
  digest: z.string(),
  spent: z.number().int().nonnegative(),
});

const transcript = z.array(transcriptTurn).max(1_000).optional();

/** Opens a program. */
export const openSchema = z.strictObject({
  budgetTokens: z.number().int().positive().optional(),
});

/** Calls a model; `input` is what is new since the last turn. */
export const modelSchema = z.strictObject({
  continuation,
  service: identifier,
  input: text.min(1),
  maximumTokens: z.number().int().positive().max(MAXIMUM_OUTPUT_TOKENS).default(256),
  stream: z.boolean().default(false),
  deadlineMs: z.number().int().positive().max(3_600_000).default(120_000),
  transcript,
});

/** Calls an operation of a plain service. */
export const serviceSchema = z.strictObject({
  continuation,
  service: identifier,
  operation: identifier.regex(/^[A-Za-z0-9._-]+$/),
  idempotencyKey: identifier,
  body: z.record(z.string(), z.unknown()).default({}),
  deadlineMs: z.number().int().positive().max(3_600_000).default(30_000),
  transcript,
});

/** Opens a program for a sub-agent, with a part of the parent's budget. */
export const spawnSchema = z.strictObject({
  continuation,
  budgetTokens: z.number().int().positive(),
  transcript,
});

/** Ends a program. */
export const endSchema = z.strictObject({ continuation, transcript });

/** Reads a program's history. */
export const historySchema = z.strictObject({ continuation });

export type OpenCall = z.infer<typeof openSchema>;
export type ModelCallBody = z.infer<typeof modelSchema>;
export type ServiceCallBody = z.infer<typeof serviceSchema>;
export type SpawnCall = z.infer<typeof spawnSchema>;
export type EndCall = z.infer<typeof endSchema>;
export type HistoryCall = z.infer<typeof historySchema>;

/** What a caller can ask for. */
export type CallMethod = 'open' | 'model' | 'service' | 'spawn' | 'end' | 'history';

/** Schemas of the requests, by method. */
export const CALL_SCHEMAS = {
  open: openSchema,
  model: modelSchema,
  service: serviceSchema,
  spawn: spawnSchema,
  end: endSchema,
  history: historySchema,
} as const;

/** A caller's request on its way to the program's owner. */
export interface Call {
  customer: string;
  method: CallMethod;
  /** Empty for `open`. */
  program: string;
  partition: number;
  /** JSON that the method's schema accepts. */
  body: string;
  /** Text that the caller already received of this call's answer. */
  emittedText: string;
  onText(text: string): void;
  signal: AbortSignal;
}

/** Tokens of one turn and of the program so far. */
export interface Usage {
  inputTokens: number;
  outputTokens: number;
  cachedTokens: number;
  rebuiltTokens: number;
  spentTokens: number;
  grantedTokens: number;
}

/** The answer to any call that moves a program on. */
export interface TurnAnswer {
  program: string;
  turn: number;
  continuation: string;
  usage: Usage;
  /** The model's whole text. */
  text?: string;
  /** The service's status and body. */
  status?: number;
  body?: string;
  /** The sub-agent's program and its first continuation. */
  child?: { program: string; continuation: string };
}
