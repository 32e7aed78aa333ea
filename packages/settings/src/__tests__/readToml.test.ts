import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'node:test';
import { readToml } from '../readToml';
import { settingsSchema } from '../settingsSchema';

const ENTRY = `role = "entry"
id = "entry-a"
domain = "zone-1"
platform = { url = "http://127.0.0.1:7300" }
[entry]
caller_address = "127.0.0.1:7400"
peer_address = "127.0.0.1:7401"
`;

const CASES: { name: string; text: string; keys: string[]; says: RegExp }[] = [
  { name: 'right settings', text: ENTRY, keys: [], says: /^$/ },
  {
    name: 'a host name in place of an IP number',
    text: ENTRY.replace('127.0.0.1:7400', 'localhost:7400'),
    keys: ['entry.callerAddress'],
    says: /entry\.caller_address = "localhost:7400": use an IP number and a port/,
  },
  {
    name: 'a misspelt key',
    text: `${ENTRY}data_folders = "/tmp"\n`,
    keys: ['entry.dataFolders'],
    says: /entry\.data_folders = "\/tmp": this key is not known; remove it or correct its spelling/,
  },
  {
    name: 'a missing key',
    text: ENTRY.replace('domain = "zone-1"\n', ''),
    keys: ['domain'],
    says: /domain: this key is missing/,
  },
  {
    name: 'two faults at once',
    text: ENTRY.replace('http://', 'ftp://').replace('"entry-a"', '"Entry A"'),
    keys: ['id', 'platform.url'],
    says: /id = "Entry A": use 1 to 64 lower-case letters[^]*platform\.url = "ftp:/,
  },
  { name: 'no TOML', text: 'role = ', keys: [''], says: /give the path of a readable TOML file/ },
];

CASES.forEach(({ name, text, keys, says }) => {
  test(`settings: ${name}`, (context) => {
    const folder = mkdtempSync(join(tmpdir(), 'marjorampin-settings-'));
    context.after(() => rmSync(folder, { recursive: true }));
    const file = join(folder, 'settings.toml');
    writeFileSync(file, text);
    const read = readToml(file, settingsSchema);
    const issues = read.ok ? [] : read.val.issues;
    assert.deepEqual(issues.map(({ key }) => key).sort(), keys);
    assert.match(read.ok ? '' : read.val.message, says);
    assert.ok(issues.every((issue) => issue.file === file));
  });
});

test('settings: a file that is not there', () => {
  const read = readToml('/nowhere/settings.toml', settingsSchema);
  assert.match(read.ok ? '' : read.val.message, /nowhere.*give the path of a readable TOML file/);
});
