import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AnswerHistory, type SentRequest, type UserCall } from './standins/answer-history.js';

/** The checker of answers catches each breach, and takes answers that overlap for what they are. */
const UID = 'job-000001';

/** One event of a history: a request leaves, or its answer arrives. */
type Event =
  | readonly [request: number, call: UserCall]
  | readonly [request: number, status: number, state?: string];

const CASES: readonly (readonly [name: string, events: readonly Event[], broken: string | null])[] =
  [
    [
      'accepted, asked, done',
      [
        [1, 'submit'],
        [1, 201, 'queued'],
        [2, 'query'],
        [2, 200, 'done'],
      ],
      null,
    ],
    [
      'a repeat of a known job',
      [
        [1, 'submit'],
        [1, 201, 'queued'],
        [2, 'submit'],
        [2, 200, 'running'],
      ],
      null,
    ],
    [
      'an older answer that overlaps the end',
      [
        [1, 'submit'],
        [1, 201, 'queued'],
        [2, 'query'],
        [3, 'query'],
        [3, 200, 'done'],
        [2, 200, 'running'],
      ],
      null,
    ],
    [
      'a 404 that overlaps the acceptance',
      [
        [1, 'submit'],
        [2, 'query'],
        [1, 201, 'queued'],
        [2, 404],
      ],
      null,
    ],
    [
      'two tries that overlap, both told 201',
      [
        [1, 'submit'],
        [2, 'submit'],
        [1, 201, 'queued'],
        [2, 201, 'queued'],
      ],
      null,
    ],
    [
      'a refusal after the end',
      [
        [1, 'submit'],
        [1, 201, 'queued'],
        [2, 'query'],
        [2, 200, 'done'],
        [3, 'query'],
        [3, 503],
      ],
      null,
    ],
    [
      'done, then running',
      [
        [1, 'submit'],
        [1, 201, 'queued'],
        [2, 'query'],
        [2, 200, 'done'],
        [3, 'query'],
        [3, 200, 'running'],
      ],
      'went_back',
    ],
    [
      'done, then 201 to a repeat',
      [
        [1, 'submit'],
        [1, 201, 'queued'],
        [2, 'query'],
        [2, 200, 'done'],
        [3, 'submit'],
        [3, 201, 'queued'],
      ],
      'went_back',
    ],
    [
      'accepted, then 201 to a repeat',
      [
        [1, 'submit'],
        [1, 201, 'queued'],
        [2, 'submit'],
        [2, 201, 'queued'],
      ],
      'went_back',
    ],
    [
      'cancelled, then queued to a repeat',
      [
        [1, 'submit'],
        [1, 201, 'queued'],
        [2, 'withdraw'],
        [2, 200, 'cancelled'],
        [3, 'submit'],
        [3, 200, 'queued'],
      ],
      'went_back',
    ],
    [
      'two ends that overlap',
      [
        [1, 'submit'],
        [1, 201, 'queued'],
        [2, 'withdraw'],
        [3, 'query'],
        [2, 200, 'cancelled'],
        [3, 200, 'done'],
      ],
      'went_back',
    ],
    [
      'cancelled, and no user asked for it',
      [
        [1, 'submit'],
        [1, 201, 'queued'],
        [2, 'query'],
        [2, 200, 'cancelled'],
      ],
      'went_back',
    ],
    [
      'a cancellation answered with running',
      [
        [1, 'submit'],
        [1, 201, 'queued'],
        [2, 'withdraw'],
        [2, 200, 'running'],
      ],
      'went_back',
    ],
    [
      'accepted, then 404',
      [
        [1, 'submit'],
        [1, 201, 'queued'],
        [2, 'query'],
        [2, 404],
      ],
      'forgotten',
    ],
    [
      'done, then 404',
      [
        [1, 'submit'],
        [1, 201, 'queued'],
        [2, 'query'],
        [2, 200, 'done'],
        [3, 'query'],
        [3, 404],
      ],
      'forgotten',
    ],
    [
      'accepted, then 404 to a cancellation',
      [
        [1, 'submit'],
        [1, 201, 'queued'],
        [2, 'withdraw'],
        [2, 404],
      ],
      'forgotten',
    ],
    [
      'accepted, then 422 to a repeat',
      [
        [1, 'submit'],
        [1, 201, 'queued'],
        [2, 'submit'],
        [2, 422],
      ],
      'forgotten',
    ],
    [
      'accepted, then 400 to a repeat',
      [
        [1, 'submit'],
        [1, 201, 'queued'],
        [2, 'submit'],
        [2, 400],
      ],
      'forgotten',
    ],
    [
      'known, and nobody submitted it',
      [
        [1, 'query'],
        [1, 200, 'queued'],
      ],
      'invented',
    ],
  ];

test('histories of answers: table', () => {
  for (const [name, events, expected] of CASES) {
    const broken: string[] = [];
    const history = new AnswerHistory(broken);
    const requests = new Map<number, SentRequest>();
    for (const [request, what, state] of events) {
      if (typeof what === 'string') requests.set(request, history.recordRequest(what, UID));
      else history.recordAnswer(requests.get(request)!, { status: what, body: { Status: state } });
    }
    const rules = [...new Set(broken.map((text) => text.split(' ')[0]))];
    assert.deepEqual(rules, expected === null ? [] : [expected], `${name}: ${broken.join('; ')}`);
  }
});
