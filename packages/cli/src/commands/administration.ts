import { ProblemError } from '@marjorampin/client';
import type { ProblemDetails } from '@marjorampin/entry';
import { request } from 'undici';
import { operatorKey } from './requireOption';

/** How operators reach an entry. */
export interface AdministrationOptions {
  url: string;
  key?: string;
}

/** Sends a request to the operators' API and returns its answer. */
export async function administer(
  method: 'GET' | 'PUT',
  path: string,
  { url, key }: AdministrationOptions,
  body?: object,
): Promise<unknown> {
  const response = await request(`${url}/admin/v1${path}`, {
    method,
    headers: {
      authorization: `Bearer ${operatorKey(key)}`,
      'content-type': 'application/json',
    },
    body: body ? JSON.stringify(body) : null,
  });
  const json: unknown = await response.body.json();
  if (response.statusCode === 200) return json;
  throw new ProblemError({ problem: json as ProblemDetails });
}
