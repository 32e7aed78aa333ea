import { ProblemError } from '@marjorampin/client';
import type { ProblemDetails } from '@marjorampin/entry';
import { request } from 'undici';
import { requireOperatorKey } from './requireOption';

/** Options of `callAdministrationApi`. */
export interface AdministrationOptions {
  /** URL of an entry. */
  url: string;
  /** Operator key; read from the environment if it is missing. */
  key?: string;
}

/** Calls the administration API of an entry and returns the JSON body of its response.
 * Throws `ProblemError` if the status is not 200. */
export async function callAdministrationApi(
  method: 'GET' | 'PUT',
  path: string,
  { url, key }: AdministrationOptions,
  body?: object,
): Promise<unknown> {
  const response = await request(`${url}/admin/v1${path}`, {
    method,
    headers: {
      authorization: `Bearer ${requireOperatorKey(key)}`,
      'content-type': 'application/json',
    },
    body: body ? JSON.stringify(body) : null,
  });
  const json: unknown = await response.body.json();
  if (response.statusCode === 200) return json;
  throw new ProblemError({ problem: json as ProblemDetails });
}
