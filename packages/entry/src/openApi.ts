import * as z from 'zod';
import { CALL_SCHEMAS } from './calls';

const PROGRAM_PARAMETER = {
  name: 'program',
  in: 'path',
  required: true,
  schema: { type: 'string' },
};

const RESPONSES = {
  200: { description: 'The answer, with the continuation for the next call.' },
  default: {
    description: 'A problem; "execution" says whether the call ran: not-run, done or unknown.',
    content: { 'application/problem+json': { schema: { $ref: '#/components/schemas/Problem' } } },
  },
};

function createOperation(schema: z.ZodType, summary: string, hasProgram = true) {
  const jsonSchema = z.toJSONSchema(schema, { io: 'input' });
  return {
    post: {
      summary,
      parameters: hasProgram ? [PROGRAM_PARAMETER] : [],
      requestBody: { content: { 'application/json': { schema: jsonSchema } } },
      responses: RESPONSES,
    },
  };
}

/** OpenAPI 3.1 description of the callers' API, served at `/openapi.json`. */
export const OPEN_API = {
  openapi: '3.1.0',
  info: { title: 'marjorampin', version: '0.1.0' },
  security: [{ key: [] }],
  paths: {
    '/v1/programs': createOperation(CALL_SCHEMAS.open, 'Open a program.', false),
    '/v1/programs/{program}/model-calls': createOperation(CALL_SCHEMAS.model, 'Call a model.'),
    '/v1/programs/{program}/service-calls': createOperation(
      CALL_SCHEMAS.service,
      'Call a service.',
    ),
    '/v1/programs/{program}/children': createOperation(CALL_SCHEMAS.spawn, 'Open a sub-agent.'),
    '/v1/programs/{program}/end': createOperation(CALL_SCHEMAS.end, 'End a program.'),
    '/v1/programs/{program}/history': createOperation(CALL_SCHEMAS.history, 'Read the history.'),
  },
  components: {
    securitySchemes: { key: { type: 'http', scheme: 'bearer' } },
    schemas: {
      Problem: {
        type: 'object',
        properties: {
          type: { type: 'string' },
          title: { type: 'string' },
          status: { type: 'integer' },
          detail: { type: 'string' },
          execution: { enum: ['not-run', 'done', 'unknown'] },
          retryAfterMs: { type: 'integer' },
        },
      },
    },
  },
};
