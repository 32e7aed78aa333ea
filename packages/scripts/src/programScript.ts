import * as z from 'zod';

const modelStepSchema = z.strictObject({
  call: z.literal('model'),
  service: z.string(),
  input: z.string(),
  maximumTokens: z.number().int().positive(),
});

const serviceStepSchema = z.strictObject({
  call: z.literal('service'),
  service: z.string(),
  operation: z.string(),
  idempotencyKey: z.string(),
  body: z.record(z.string(), z.unknown()).default({}),
});

const pauseStepSchema = z.strictObject({
  call: z.literal('pause'),
  milliseconds: z.number().int().nonnegative(),
});

const simpleStepSchema = z.discriminatedUnion('call', [
  modelStepSchema,
  serviceStepSchema,
  pauseStepSchema,
]);

const subAgentStepSchema = z.strictObject({
  call: z.literal('sub-agent'),
  name: z.string(),
  budgetTokens: z.number().int().positive(),
  steps: z.array(simpleStepSchema),
});

const stepSchema = z.discriminatedUnion('call', [
  modelStepSchema,
  serviceStepSchema,
  pauseStepSchema,
  subAgentStepSchema,
]);

/** Schema of the script of one program. */
export const programScriptSchema = z.strictObject({ name: z.string(), steps: z.array(stepSchema) });

/** Schema of a file of scripts. */
export const programScriptsSchema = z.strictObject({ programs: z.array(programScriptSchema) });

/** One step of a script: a model call, a service call, a pause or a sub-agent. */
export type Step = z.infer<typeof stepSchema>;
/** Script of one program. */
export type ProgramScript = z.infer<typeof programScriptSchema>;
