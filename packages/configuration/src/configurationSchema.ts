import * as z from 'zod';

const name = z.string().regex(/^[a-z0-9-]{1,64}$/, 'use 1 to 64 lower-case letters, digits or "-"');

const count = z.number().int().positive();

/** Schema of a contract as operators write it. */
export const contractSchema = z.strictObject({
  customer: name,
  keyDigests: z
    .array(z.string().regex(/^[0-9a-f]{64}$/, 'use the hex SHA-256 digest of the key'))
    .min(1, 'list at least one key digest'),
  services: z.array(name),
  priority: z.enum(['urgent', 'standard', 'background']).default('standard'),
  mayWait: z.array(name).default([]),
  programBudgetTokens: count.max(4_000_000_000),
  limits: z.strictObject({ concurrentPrograms: count, callsPerSecond: count }),
  partitions: count.max(4_096).default(8),
  programLifetimeMs: count.default(86_400_000),
  objective: z.number().gt(0).lt(1).default(0.999),
});

/** Schema of a service as operators write it. */
export const serviceSchema = z.strictObject({
  name,
  kind: z.enum(['model', 'plain']),
  idempotentOperations: z.array(z.string()).default([]),
  costTokens: z.number().int().nonnegative().default(10),
  wastedCachePriceMs: z.number().nonnegative().default(0.05),
  progressTimeoutMs: count.default(10_000),
  checksFencing: z.boolean().default(true),
});

/** Schema of a sealing key, which protects continuations. */
export const sealingKeySchema = z.strictObject({
  number: z.number().int().positive(),
  secret: z.string().min(32, 'use at least 24 random bytes in base64'),
});

/** Schema of a file with contracts, services and sealing keys. */
export const configurationFileSchema = z.strictObject({
  contracts: z.array(contractSchema).default([]),
  services: z.array(serviceSchema).default([]),
  sealingKeys: z.array(sealingKeySchema).default([]),
});

/** Contents of a file with contracts, services and sealing keys. */
export type ConfigurationFile = z.infer<typeof configurationFileSchema>;
