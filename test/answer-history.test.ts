/**
 * Checks that `AnswerHistory` reports every answer that contradicts an earlier one, and accepts older answers to
 * requests that overlapped in time.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AnswerHistory, type SentRequest, type UserCall } from './standins/answer-history.js';

const UID = 'job-000001';

/** One event of a history: a request is sent, or its answer arrives with an HTTP status and the job's state. */
type HistoryEvent =
  | readonly [request: number, call: UserCall]
  | readonly [request: number, status: number, state?: string];

const CASES: readonly (readonly [
  name: string,
  events: readonly HistoryEvent[],
  brokenRule: string | null,
])[] = [
  [
    'accepted, then done to a query',
    [
      [1, 'submit'],
      [1, 201, 'queued'],
      [2, 'query'],
      [2, 200, 'done'],
    ],
    null,
  ],
  [
    'a repeated submission of an accepted job is answered 200',
    [
      [1, 'submit'],
      [1, 201, 'queued'],
      [2, 'submit'],
      [2, 200, 'running'],
    ],
    null,
  ],
  [
    'an older answer whose query overlaps the one answered done',
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
    'a 404 to a query that overlaps the submission',
    [
      [1, 'submit'],
      [2, 'query'],
      [1, 201, 'queued'],
      [2, 404],
    ],
    null,
  ],
  [
    'two overlapping submissions, both answered 201',
    [
      [1, 'submit'],
      [2, 'submit'],
      [1, 201, 'queued'],
      [2, 201, 'queued'],
    ],
    null,
  ],
  [
    'a 503 after done',
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
    'done, then 201 to a repeated submission',
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
    'accepted, then 201 to a repeated submission',
    [
      [1, 'submit'],
      [1, 201, 'queued'],
      [2, 'submit'],
      [2, 201, 'queued'],
    ],
    'went_back',
  ],
  [
    'cancelled, then queued to a repeated submission',
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
    'two different final states in overlapping answers',
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
    'cancelled without a cancellation request',
    [
      [1, 'submit'],
      [1, 201, 'queued'],
      [2, 'query'],
      [2, 200, 'cancelled'],
    ],
    'went_back',
  ],
  [
    'a cancellation request answered with running',
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
    'accepted, then 404 to a cancellation request',
    [
      [1, 'submit'],
      [1, 201, 'queued'],
      [2, 'withdraw'],
      [2, 404],
    ],
    'forgotten',
  ],
  [
    'accepted, then 422 to a repeated submission',
    [
      [1, 'submit'],
      [1, 201, 'queued'],
      [2, 'submit'],
      [2, 422],
    ],
    'forgotten',
  ],
  [
    'accepted, then 400 to a repeated submission',
    [
      [1, 'submit'],
      [1, 201, 'queued'],
      [2, 'submit'],
      [2, 400],
    ],
    'forgotten',
  ],
  [
    'queued without a submission',
    [
      [1, 'query'],
      [1, 200, 'queued'],
    ],
    'invented',
  ],
];

test('answer histories: contradictions are reported, overlapping answers are accepted (table)', () => {
  for (const [name, events, expected] of CASES) {
    const violations: string[] = [];
    const history = new AnswerHistory(violations);
    const requests = new Map<number, SentRequest>();
    for (const [request, callOrStatus, state] of events) {
      if (typeof callOrStatus === 'string')
        requests.set(request, history.recordRequest(callOrStatus, UID));
      else
        history.recordAnswer(requests.get(request)!, {
          status: callOrStatus,
          body: { Status: state },
        });
    }
    const brokenRules = [...new Set(violations.map((text) => text.split(' ')[0]))];
    assert.deepEqual(
      brokenRules,
      expected === null ? [] : [expected],
      `${name}: ${violations.join('; ')}`,
    );
  }
});
