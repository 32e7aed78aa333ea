import { Err, Ok, type Result } from '@marjorampin/types';
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import type { z } from 'zod';

/** Problem in a TOML file. */
export interface SettingsIssue {
  /** Path of the file. */
  file: string;
  /** Dotted path of the key, in camel case; empty if the issue concerns the whole file. */
  key: string;
  /** Value of the key as JSON; empty if it is missing. */
  value: string;
  /** Description of the problem and, where known, of what to change. */
  remedy: string;
}

/** Error with all issues of a TOML file; its message has one line for each. */
export class SettingsError extends Error {
  readonly issues: SettingsIssue[];

  constructor({ issues }: { issues: SettingsIssue[] }) {
    super(issues.map(describeIssue).join('\n'));
    this.name = 'SettingsError';
    this.issues = issues;
  }
}

/** Keys below this one are not converted to camel case, as they belong to a service's request. */
const VERBATIM_SECTION = 'body';

/**
 * Reads a TOML file, converts its snake-case keys to camel case and validates it against a schema.
 * Fails with all issues at once if the file is unreadable or invalid.
 */
export function readToml<Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): Result<z.infer<Schema>, SettingsError> {
  const parsed = parseFile(file);
  if (parsed.err) return parsed;
  const validated = schema.safeParse(parsed.val);
  if (validated.success) return Ok(validated.data);
  const issues = validated.error.issues.flatMap((issue) =>
    toSettingsIssues(file, parsed.val, issue),
  );
  return Err(new SettingsError({ issues }));
}

function parseFile(file: string): Result<unknown, SettingsError> {
  try {
    return Ok(toCamelCase(parse(readFileSync(file, 'utf8'))));
  } catch (error) {
    const reason = error instanceof Error ? (error.message.split('\n')[0] ?? '') : String(error);
    const remedy = `${reason}; check that the file exists, is readable and is valid TOML`;
    return Err(new SettingsError({ issues: [{ file, key: '', value: '', remedy }] }));
  }
}

function toSettingsIssues(file: string, root: unknown, issue: z.core.$ZodIssue): SettingsIssue[] {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((unknownKey) => {
      const keyPath = [...path, unknownKey];
      const remedy = 'this key is not known; remove it or correct its spelling';
      return { file, key: keyPath.join('.'), value: valueAt(root, keyPath), remedy };
    });
  }
  const value = valueAt(root, path);
  const remedy = value === '' ? `this key is missing; add it (${issue.message})` : issue.message;
  return [{ file, key: path.join('.'), value, remedy }];
}

function valueAt(root: unknown, path: string[]): string {
  const found = path.reduce<unknown>(
    (value, key) =>
      typeof value === 'object' && value !== null ? Reflect.get(value, key) : undefined,
    root,
  );
  return found === undefined ? '' : JSON.stringify(found);
}

function describeIssue({ file, key, value, remedy }: SettingsIssue): string {
  const location = key === '' ? file : `${file}: ${toSnakeKey(key)}`;
  return value === '' ? `${location}: ${remedy}` : `${location} = ${value}: ${remedy}`;
}

function toCamelCase(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(toCamelCase);
  if (typeof value !== 'object' || value === null || value instanceof Date) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, nested]) => [
      key.replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase()),
      key === VERBATIM_SECTION ? nested : toCamelCase(nested),
    ]),
  );
}

function toSnakeKey(key: string): string {
  return key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}
