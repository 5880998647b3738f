/** Tests that fail for a known fault which is not mended yet: KNOWN-RED.txt at the root lists them. */

/** More than this many known failures are no longer known failures but a broken build. */
export const KNOWN_RED_MOST = 3;

/** One line of KNOWN-RED.txt. */
export interface KnownRed {
  /** full name of the test: the names of its groups and its own, joined by ` > ` */
  readonly test: string;
  readonly cause: string;
  readonly issue: string;
}

/** Names of all tests that ran, by their outcome. */
export interface Outcomes {
  readonly passed: ReadonlySet<string>;
  readonly failed: ReadonlySet<string>;
}

export interface Verdict {
  readonly ok: boolean;
  /** what to print, a line each */
  readonly lines: readonly string[];
}

/** Reads `test | cause | issue` lines; blank lines and lines that begin with `#` say nothing. */
export const parseKnownRed = (text: string): { known: KnownRed[]; problems: string[] } => {
  const known: KnownRed[] = [];
  const problems: string[] = [];
  for (const line of text.split('\n').map((l) => l.trim())) {
    if (line === '' || line.startsWith('#')) continue;
    const [test = '', cause = '', issue = '', ...rest] = line
      .split('|')
      .map((field) => field.trim());
    if (test === '' || cause === '' || issue === '' || rest.length > 0) {
      problems.push(`KNOWN-RED.txt: not "test | cause | issue": ${line}`);
    } else known.push({ test, cause, issue });
  }
  if (known.length > KNOWN_RED_MOST) {
    problems.push(`KNOWN-RED.txt: ${known.length} tests, at most ${KNOWN_RED_MOST} are allowed`);
  }
  return { known, problems };
};

/** The known failures pass, and nothing else: neither another failure nor a listed test that passes. */
export const judge = (text: string, { passed, failed }: Outcomes): Verdict => {
  const { known, problems } = parseKnownRed(text);
  const lines = known.map(({ test, cause, issue }) => `known red: ${test} (${cause}; ${issue})`);
  const listed = new Set(known.map(({ test }) => test));
  for (const test of listed) {
    if (failed.has(test)) continue;
    problems.push(`KNOWN-RED.txt: ${passed.has(test) ? 'passes' : 'did not run'}: ${test}`);
  }
  for (const test of failed) if (!listed.has(test)) problems.push(`failed: ${test}`);
  return { ok: problems.length === 0, lines: [...lines, ...problems] };
};
