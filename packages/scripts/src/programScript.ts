import * as z from 'zod';

const modelStep = z.strictObject({
  call: z.literal('model'),
  service: z.string(),
  input: z.string(),
  maximumTokens: z.number().int().positive(),
});

const serviceStep = z.strictObject({
  call: z.literal('service'),
  service: z.string(),
  operation: z.string(),
  idempotencyKey: z.string(),
  body: z.record(z.string(), z.unknown()).default({}),
});

const pauseStep = z.strictObject({
  call: z.literal('pause'),
  milliseconds: z.number().int().nonnegative(),
});

const leafStep = z.discriminatedUnion('call', [modelStep, serviceStep, pauseStep]);

const subAgentStep = z.strictObject({
  call: z.literal('sub-agent'),
  name: z.string(),
  budgetTokens: z.number().int().positive(),
  steps: z.array(leafStep),
});

const step = z.discriminatedUnion('call', [modelStep, serviceStep, pauseStep, subAgentStep]);

/** Shape of a program's script. */
export const programScriptSchema = z.strictObject({ name: z.string(), steps: z.array(step) });

/** Shape of a file of scripts. */
export const programScriptsSchema = z.strictObject({ programs: z.array(programScriptSchema) });

export type Step = z.infer<typeof step>;
export type ProgramScript = z.infer<typeof programScriptSchema>;
