/** Users, who submit, ask and withdraw, and the rules that they can see broken. */
import { performance } from 'node:perf_hooks';
import { call } from './wire.mjs';

/** Times after which a user gives an answer up. */
const TIMEOUT_MS = { submit: 5000, query: 2000, withdraw: 5000 };

export class Users {
  answers = 0;

  constructor(world, nodes) {
    this.world = world;
    this.nodes = nodes;
    this.names = [...nodes.keys()];
  }

  anyNode() {
    return this.names[Math.floor(Math.random() * this.names.length)];
  }

  async submit(spec, node = this.anyNode()) {
    const job = this.world.addJob(spec);
    const sentAt = performance.now();
    const body = { ...spec, runS: undefined };
    delete body.runS;
    const answer = await call(
      this.nodes.get(node),
      'POST',
      '/submissions',
      body,
      TIMEOUT_MS.submit,
    );
    this.see('submit', job, node, sentAt, answer);
    return answer;
  }

  async query(uid, node = this.anyNode()) {
    const job = this.world.jobs.get(uid);
    const sentAt = performance.now();
    const answer = await call(
      this.nodes.get(node),
      'GET',
      `/submissions/${uid}`,
      undefined,
      TIMEOUT_MS.query,
    );
    if (job !== undefined) this.see('query', job, node, sentAt, answer);
    else if (answer?.status === 200) this.world.breakRule('invented', `${uid} at ${node}`);
    return answer;
  }

  async withdraw(uid, node = this.anyNode()) {
    const job = this.world.jobs.get(uid);
    job.cancelAsked = true;
    const sentAt = performance.now();
    const answer = await call(
      this.nodes.get(node),
      'POST',
      `/submissions/${uid}/withdraw`,
      {},
      TIMEOUT_MS.withdraw,
    );
    this.see('withdraw', job, node, sentAt, answer);
    return answer;
  }

  /** Checks an answer against what users had been told before the request was sent. */
  see(kind, job, node, sentAt, answer) {
    const { world } = this;
    const { Uid: uid } = job.spec;
    const status = answer?.body?.Status;
    world.log(
      `${kind} ${uid} at ${node}: ${answer === null ? 'no answer' : `${answer.status} ${status ?? ''}`}`,
    );
    if (answer === null) return;
    this.answers += 1;
    const knewBefore = job.acceptedAt !== undefined && job.acceptedAt < sentAt;
    if (knewBefore && answer.status === 404)
      world.breakRule('forgotten', `${uid} gets 404 at ${node}`);
    if (knewBefore && (answer.status === 400 || answer.status === 422)) {
      world.breakRule('forgotten', `${uid} gets ${answer.status} at ${node}`);
    }
    if (answer.status !== 200 && answer.status !== 201) return;
    job.acceptedAt ??= performance.now();
    const { told } = job;
    if (told !== null && told.at < sentAt && told.status !== status) {
      world.breakRule('went_back', `${uid} was ${told.status}, is ${status} at ${node}`);
    }
    if (status === 'done' && !world.isDone(uid)) world.breakRule('not_done', `${uid} at ${node}`);
    if (status === 'cancelled' && !job.cancelAsked) {
      world.breakRule('went_back', `${uid} is cancelled, which nobody asked for`);
    }
    if (status !== 'done' && status !== 'cancelled') return;
    job.told ??= { status, at: performance.now() };
    if (status === 'cancelled') job.cancelledAt ??= performance.now();
  }
}
