import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  formatPeerAddress,
  parseListeningAddress,
  parsePeerAddress,
  type PeerAddress,
} from '../peerAddress';

const ADDRESSES: { text: string; expected: PeerAddress | undefined }[] = [
  { text: '127.0.0.1:1', expected: { host: '127.0.0.1', port: 1 } },
  { text: '255.255.255.255:65535', expected: { host: '255.255.255.255', port: 65_535 } },
  { text: '[::1]:7400', expected: { host: '::1', port: 7_400 } },
  { text: '[::ffff:10.0.0.1]:7400', expected: { host: '::ffff:10.0.0.1', port: 7_400 } },
  ...[
    '',
    '127.0.0.1',
    '127.0.0.1:',
    '127.0.0.1:65536',
    '127.0.0.1:99999',
    '127.0.0.1:100000',
    '127.0.0.1:-1',
    '127.0.0.1:1e3',
    '127.0.0.1:80 ',
    '127.0.0.1:80/path',
    '127.0.0.1:80\r\nX: y',
    '256.0.0.1:80',
    '1.2.3:80',
    '1.2.3.4.5:80',
    '010.0.0.1:80',
    '::1:80',
    '[:]:80',
    '[::::::]:80',
    '[1:2:3:4:5:6:7:8:9]:80',
    '[127.0.0.1]:80',
    '[fe80::1%lo]:80',
    'host.example:80',
  ].map((text) => ({ text, expected: undefined })),
];

describe('addresses of peers', () => {
  ADDRESSES.forEach(({ text, expected }) => {
    it(`${JSON.stringify(text)} is ${expected ? 'parsed' : 'rejected'}`, () => {
      assert.deepEqual(parsePeerAddress(text), expected);
      assert.deepEqual(parseListeningAddress(text), expected);
      if (expected) assert.equal(formatPeerAddress(expected), text);
    });
  });

  ['127.0.0.1:0', '[::1]:0'].forEach((text) => {
    it(`${text} is an address to listen on, but not that of a peer`, () => {
      assert.equal(parsePeerAddress(text), undefined);
      assert.equal(parseListeningAddress(text)?.port, 0);
    });
  });
});
