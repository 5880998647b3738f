/** Every well-formed spelling of a submission is the same submission, at every node and at any later time. */
import assert from 'node:assert/strict';
import { request } from 'node:http';
import { describe, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { decodeCbor, WireError } from '../src/wire/cbor.js';
import { submissionSchema } from '../src/wire/users.js';
import { Cluster } from './standins/cluster.js';
import { spellCbor, type Spelling } from './standins/cbor-spelling.js';

const UNKNOWN_FIELDS = {
  Extra: {
    list: [1, -1, 2.5, null, true, 'x', [], {}],
    big: 2 ** 52,
    text: 'größer als 32 Zeichen – €, 🙂',
  },
  done: 'no',
  __proto: null,
  '': [[[[]]]],
};

const SPELLINGS: (Spelling & { readonly name: string })[] = [
  { name: 'the shortest form' },
  { name: 'keys in another order', reverseKeys: true },
  { name: 'integers of one byte', integerBytes: 1 },
  { name: 'integers of two bytes', integerBytes: 2 },
  { name: 'integers of four bytes', integerBytes: 4 },
  { name: 'integers of eight bytes', integerBytes: 8 },
  { name: 'integers as half-precision numbers', integersAsFloats: true, floatBytes: 2 },
  { name: 'integers as single-precision numbers', integersAsFloats: true, floatBytes: 4 },
  { name: 'integers as double-precision numbers', integersAsFloats: true, floatBytes: 8 },
  { name: 'lengths of one byte', lengthBytes: 1 },
  { name: 'lengths of two bytes', lengthBytes: 2 },
  { name: 'lengths of four bytes', lengthBytes: 4 },
  { name: 'lengths of eight bytes', lengthBytes: 8 },
  { name: 'maps and lists of indefinite length', indefiniteContainers: true },
  { name: 'texts of indefinite length, by single characters', textChunk: 1 },
  { name: 'texts of indefinite length, in one chunk', textChunk: 1000 },
  {
    name: 'everything of indefinite length',
    indefiniteContainers: true,
    textChunk: 3,
    reverseKeys: true,
  },
];

const MAX_REPEATS = 20;
const REPEAT_MS = 100;

const submissionOf = (cluster: Cluster) =>
  cluster.submission({ Vcpus: 1.5, Cards: 0, MemGb: 1, GuessS: 60, Hosttypes: ['m'] });

describe('spellings of a submission', () => {
  const submission = submissionOf(new Cluster({ runMs: 1, leaseS: 1, cancelS: 1 }));
  const expected = submissionSchema.parse(submission);

  for (const { name, ...spelling } of SPELLINGS) {
    test(`${name}: the same job, with unknown fields and without nullable ones`, () => {
      const withoutNullable = Object.fromEntries(
        Object.entries(submission).filter(([, value]) => value !== null),
      );
      for (const body of [submission, { ...submission, ...UNKNOWN_FIELDS }, withoutNullable]) {
        assert.deepEqual(submissionSchema.parse(decodeCbor(spellCbor(body, spelling))), expected);
      }
      const decoded = decodeCbor(spellCbor(UNKNOWN_FIELDS, spelling));
      assert.deepEqual(decoded, UNKNOWN_FIELDS, 'no value is changed');
    });
  }

  const MALFORMED: [string, number[]][] = [
    ['a text of indefinite length without its end', [0x7f, 0x61, 0x61]],
    ['a text within a chunk of a text', [0x7f, 0x7f, 0x61, 0x61, 0xff, 0xff]],
    ['a number as a chunk of a text', [0x7f, 0x01, 0xff]],
    ['bytes as a chunk of a text', [0x7f, 0x41, 0x61, 0xff]],
    ['bytes of indefinite length', [0x5f, 0x41, 0x61, 0xff]],
    [
      'the same key twice, in two spellings',
      [0xa2, 0x61, 0x61, 0x01, 0x7f, 0x61, 0x61, 0xff, 0x02],
    ],
    ['bytes after the end', [0xf6, 0xf6]],
    ['an end without a beginning', [0xff]],
  ];
  for (const [name, bytes] of MALFORMED) {
    test(`malformed, ${name}: an error`, () => {
      assert.throws(() => decodeCbor(Buffer.from(bytes)), WireError);
    });
  }
});

/** Sends a submission by length or in chunks of transfer, once. Returns the status. */
const sendOnce = (address: string, bytes: Buffer, chunked: boolean): Promise<number> =>
  new Promise((resolve, reject) => {
    const [host, port] = address.split(':') as [string, string];
    const headers = chunked ? {} : { 'content-length': bytes.length };
    const call = request({ host, port, method: 'POST', path: '/submissions', headers });
    call.on('error', reject);
    call.on('response', (response) => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
    const half = Math.floor(bytes.length / 2);
    if (chunked) call.write(bytes.subarray(0, half));
    call.end(chunked ? bytes.subarray(half) : bytes);
  });

/** Sends a submission until a node can answer, as users do. Returns the status. */
const send = async (address: string, bytes: Buffer, chunked: boolean): Promise<number> => {
  for (let repeats = 0; repeats < MAX_REPEATS; repeats++) {
    const status = await sendOnce(address, bytes, chunked);
    if (status !== 503) return status;
    await sleep(REPEAT_MS);
  }
  return 503;
};

test('all spellings of a submission at all nodes, by length and by chunks: one job', async () => {
  const cluster = new Cluster({ controllers: 2, runMs: 60_000, leaseS: 12, cancelS: 26 });
  try {
    await cluster.open();
    for (const first of SPELLINGS) {
      const body = submissionOf(cluster);
      const statuses: number[] = [];
      for (const [index, spelling] of [first, ...SPELLINGS].entries()) {
        const { listen } = cluster.configOf(cluster.nodes[index % cluster.nodes.length]!);
        const spelled = { ...body, ...(index % 3 === 0 ? UNKNOWN_FIELDS : {}) };
        statuses.push(await send(listen, spellCbor(spelled, spelling), index % 4 < 2));
      }
      assert.deepEqual(statuses, [201, ...SPELLINGS.map(() => 200)], first.name);
    }
    const jobs = [...cluster.store.items.keys()].filter((key) => key.startsWith('active/'));
    assert.equal(jobs.length, SPELLINGS.length);
  } finally {
    cluster.close();
  }
});
