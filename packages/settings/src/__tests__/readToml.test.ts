import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'node:test';
import { readToml } from '../readToml';
import { settingsSchema } from '../settingsSchema';

const ENTRY_SETTINGS = `role = "entry"
id = "entry-a"
domain = "zone-1"
platform = { url = "http://127.0.0.1:7300" }
[entry]
caller_address = "127.0.0.1:7400"
peer_address = "127.0.0.1:7401"
`;

const CASES: { name: string; text: string; expectedKeys: string[]; expectedMessage: RegExp }[] = [
  {
    name: 'valid settings are accepted',
    text: ENTRY_SETTINGS,
    expectedKeys: [],
    expectedMessage: /^$/,
  },
  {
    name: 'a host name instead of an IP address is reported',
    text: ENTRY_SETTINGS.replace('127.0.0.1:7400', 'localhost:7400'),
    expectedKeys: ['entry.callerAddress'],
    expectedMessage: /entry\.caller_address = "localhost:7400": use an IP address and a port/,
  },
  {
    name: 'a port out of range is reported',
    text: ENTRY_SETTINGS.replace('127.0.0.1:7401', '127.0.0.1:74010'),
    expectedKeys: ['entry.peerAddress'],
    expectedMessage: /entry\.peer_address = "127\.0\.0\.1:74010": use an IP address and a port/,
  },
  {
    name: 'an unknown key is reported',
    text: `${ENTRY_SETTINGS}data_folders = "/tmp"\n`,
    expectedKeys: ['entry.dataFolders'],
    expectedMessage:
      /entry\.data_folders = "\/tmp": this key is not known; remove it or correct its spelling/,
  },
  {
    name: 'a missing key is reported',
    text: ENTRY_SETTINGS.replace('domain = "zone-1"\n', ''),
    expectedKeys: ['domain'],
    expectedMessage: /domain: this key is missing/,
  },
  {
    name: 'all issues of a file are reported together',
    text: ENTRY_SETTINGS.replace('http://', 'ftp://').replace('"entry-a"', '"Entry A"'),
    expectedKeys: ['id', 'platform.url'],
    expectedMessage: /id = "Entry A": use 1 to 64 lower-case letters[^]*platform\.url = "ftp:/,
  },
  {
    name: 'a syntax error is reported',
    text: 'role = ',
    expectedKeys: [''],
    expectedMessage: /check that the file exists, is readable and is valid TOML/,
  },
];

CASES.forEach(({ name, text, expectedKeys, expectedMessage }) => {
  test(`settings: ${name}`, (context) => {
    const folder = mkdtempSync(join(tmpdir(), 'marjorampin-settings-'));
    context.after(() => rmSync(folder, { recursive: true }));
    const file = join(folder, 'settings.toml');
    writeFileSync(file, text);
    const read = readToml(file, settingsSchema);
    const issues = read.ok ? [] : read.val.issues;
    assert.deepEqual(issues.map(({ key }) => key).sort(), expectedKeys);
    assert.match(read.ok ? '' : read.val.message, expectedMessage);
    assert.ok(issues.every((issue) => issue.file === file));
  });
});

test('settings: a missing file is reported', () => {
  const read = readToml('/nowhere/settings.toml', settingsSchema);
  assert.match(
    read.ok ? '' : read.val.message,
    /nowhere.*check that the file exists, is readable and is valid TOML/,
  );
});
