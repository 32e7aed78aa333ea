import * as z from 'zod';

/** Maximum length of a text field in a request, in characters. */
export const MAXIMUM_TEXT_CHARACTERS = 1_000_000;

const MAXIMUM_OUTPUT_TOKENS = 100_000;
const MAXIMUM_CONTINUATION_CHARACTERS = 4_096;
const MAXIMUM_TRANSCRIPT_TURNS = 1_000;
const DEFAULT_OUTPUT_TOKENS = 256;
const MAXIMUM_DEADLINE_MS = 3_600_000;
const DEFAULT_MODEL_DEADLINE_MS = 120_000;
const DEFAULT_SERVICE_DEADLINE_MS = 30_000;

const text = z.string().max(MAXIMUM_TEXT_CHARACTERS);
const continuation = z.string().max(MAXIMUM_CONTINUATION_CHARACTERS);
const identifier = z.string().min(1).max(128);

/** Turn in the form that the history call returns. */
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

/** Turns as the history call returned them, from which the program can be recovered. */
const transcript = z.array(transcriptTurn).max(MAXIMUM_TRANSCRIPT_TURNS).optional();

/** Request body of a call that opens a program. */
export const openCallSchema = z.strictObject({
  budgetTokens: z.number().int().positive().optional(),
});

/** Request body of a model call; `input` is the text that is new since the last turn. */
export const modelCallSchema = z.strictObject({
  continuation,
  service: identifier,
  input: text.min(1),
  maximumTokens: z
    .number()
    .int()
    .positive()
    .max(MAXIMUM_OUTPUT_TOKENS)
    .default(DEFAULT_OUTPUT_TOKENS),
  stream: z.boolean().default(false),
  deadlineMs: z
    .number()
    .int()
    .positive()
    .max(MAXIMUM_DEADLINE_MS)
    .default(DEFAULT_MODEL_DEADLINE_MS),
  transcript,
});

/** Request body of a call to an operation of a plain service. */
export const serviceCallSchema = z.strictObject({
  continuation,
  service: identifier,
  operation: identifier.regex(/^[A-Za-z0-9._-]+$/),
  idempotencyKey: identifier,
  body: z.record(z.string(), z.unknown()).default({}),
  deadlineMs: z
    .number()
    .int()
    .positive()
    .max(MAXIMUM_DEADLINE_MS)
    .default(DEFAULT_SERVICE_DEADLINE_MS),
  transcript,
});

/** Request body of a call that opens a program for a sub-agent, with part of the parent's budget. */
export const spawnCallSchema = z.strictObject({
  continuation,
  budgetTokens: z.number().int().positive(),
  transcript,
});

/** Request body of a call that ends a program. */
export const endCallSchema = z.strictObject({ continuation, transcript });

/** Request body of a call that reads a program's history. */
export const historyCallSchema = z.strictObject({ continuation });

/** Request body validated by `openCallSchema`. */
export type OpenCallBody = z.infer<typeof openCallSchema>;
/** Request body validated by `modelCallSchema`, with its defaults. */
export type ModelCallBody = z.infer<typeof modelCallSchema>;
/** Request body validated by `serviceCallSchema`, with its defaults. */
export type ServiceCallBody = z.infer<typeof serviceCallSchema>;
/** Request body validated by `spawnCallSchema`. */
export type SpawnCallBody = z.infer<typeof spawnCallSchema>;
/** Request body validated by `endCallSchema`. */
export type EndCallBody = z.infer<typeof endCallSchema>;
/** Request body validated by `historyCallSchema`. */
export type HistoryCallBody = z.infer<typeof historyCallSchema>;

/** Methods of the callers' API. */
export type CallMethod = 'open' | 'model' | 'service' | 'spawn' | 'end' | 'history';

/** Schemas of the request bodies, by method. */
export const CALL_SCHEMAS = {
  open: openCallSchema,
  model: modelCallSchema,
  service: serviceCallSchema,
  spawn: spawnCallSchema,
  end: endCallSchema,
  history: historyCallSchema,
} as const;

/** A caller's request as it is routed to the owner of the program. */
export interface Call {
  customer: string;
  method: CallMethod;
  /** Empty for `open`. */
  program: string;
  partition: number;
  /** JSON, validated against the schema of the method. */
  body: string;
  /** Part of the answer's text that the caller has already received. */
  emittedText: string;
  onText(text: string): void;
  signal: AbortSignal;
}

/** Token usage of one turn, with the totals that the program has spent and was granted. */
export interface Usage {
  inputTokens: number;
  outputTokens: number;
  cachedTokens: number;
  /** Input tokens that the engine had cached, evicted and computed again. */
  rebuiltTokens: number;
  spentTokens: number;
  grantedTokens: number;
}

/** Answer to a call that opens a program or adds a turn to it. */
export interface TurnAnswer {
  program: string;
  turn: number;
  continuation: string;
  usage: Usage;
  /** Complete text from the model. */
  text?: string;
  /** HTTP status of the service's response. */
  status?: number;
  /** Body of the service's response. */
  body?: string;
  /** Program of the sub-agent, with its first continuation. */
  child?: { program: string; continuation: string };
}
