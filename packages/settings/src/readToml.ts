import { Err, Ok, type Result } from '@marjorampin/types';
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import type { z } from 'zod';

/** One thing that is wrong in a file. */
export interface SettingsIssue {
  file: string;
  /** Dotted path of the key; empty for the file as a whole. */
  key: string;
  /** The value as JSON; empty when it is missing. */
  value: string;
  remedy: string;
}

/** All that is wrong in a file. */
export class SettingsError extends Error {
  readonly issues: SettingsIssue[];

  constructor({ issues }: { issues: SettingsIssue[] }) {
    super(issues.map(describeIssue).join('\n'));
    this.name = 'SettingsError';
    this.issues = issues;
  }
}

/** Values below this key belong to a service, so that their keys stay as they are. */
const VERBATIM_KEY = 'body';

/** Reads a TOML file with snake-case keys and checks all of it; every issue is reported at once. */
export function readToml<Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): Result<z.infer<Schema>, SettingsError> {
  const read = parseFile(file);
  if (read.err) return read;
  const parsed = schema.safeParse(read.val);
  if (parsed.success) return Ok(parsed.data);
  const issues = parsed.error.issues.flatMap((issue) => issuesOf(file, read.val, issue));
  return Err(new SettingsError({ issues }));
}

function parseFile(file: string): Result<unknown, SettingsError> {
  try {
    return Ok(toCamelCase(parse(readFileSync(file, 'utf8'))));
  } catch (error) {
    const reason = error instanceof Error ? (error.message.split('\n')[0] ?? '') : String(error);
    const remedy = `${reason}; give the path of a readable TOML file`;
    return Err(new SettingsError({ issues: [{ file, key: '', value: '', remedy }] }));
  }
}

function issuesOf(file: string, root: unknown, issue: z.core.$ZodIssue): SettingsIssue[] {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((unknown) => {
      const keyPath = [...path, unknown];
      const remedy = 'this key is not known; remove it or correct its spelling';
      return { file, key: keyPath.join('.'), value: valueAt(root, keyPath), remedy };
    });
  }
  const value = valueAt(root, path);
  const remedy = value === '' ? `this key is missing: ${issue.message}` : issue.message;
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
  const place = key === '' ? file : `${file}: ${toSnakeKey(key)}`;
  return value === '' ? `${place}: ${remedy}` : `${place} = ${value}: ${remedy}`;
}

function toCamelCase(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(toCamelCase);
  if (typeof value !== 'object' || value === null || value instanceof Date) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, inner]) => [
      key.replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase()),
      key === VERBATIM_KEY ? inner : toCamelCase(inner),
    ]),
  );
}

function toSnakeKey(key: string): string {
  return key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}
