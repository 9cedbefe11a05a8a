import type {NoticeBoard, Notices, RateStatement} from '../fleet/index.js';
import type {Timer} from '../timer/index.js';
import type {Endpoint} from './endpoint.js';
import type {Endpoints} from './endpoints.js';
import type {ResponseObserver} from './responseobserver.js';

/** Most declared rates in one message; those told least often go first. */
const MAX_RATES = 24;

/** What this instance tells of the rate that an upstream declares. */
export function rateStatementOf(
  {id, entry, limit}: Endpoint,
  now: number,
): RateStatement {
  const ageMs = Math.max(0, Math.round(limit.ageMs(now)));
  return [id, entry.startedAt ?? 0, limit.perSecond ?? null, ageMs];
}

/** What upstreams said of themselves in responses, for gossip. */
export class UpstreamNotices implements NoticeBoard {
  constructor(
    private readonly endpoints: Endpoints,
    private readonly observer: ResponseObserver,
    private readonly timer: Timer,
  ) {}

  take(): Notices {
    const leaving = this.endpoints.leaving();
    const rates = this.takeRates();
    return {
      ...(leaving.length === 0 ? {} : {leaving}),
      ...(rates.length === 0 ? {} : {rates}),
    };
  }

  learn({leaving = [], rates = []}: Notices): void {
    for (const upstream of leaving) this.observer.learnLeaving(upstream);
    for (const statement of rates) this.observer.learnRate(statement);
  }

  private takeRates(): RateStatement[] {
    const now = this.timer.now();
    const told = [...this.endpoints.all()]
      .filter(({limit}) => limit.isNews(now))
      .sort((a, b) => a.limit.tellings - b.limit.tellings)
      .slice(0, MAX_RATES);
    return told.map(endpoint => {
      endpoint.limit.tellings++;
      return rateStatementOf(endpoint, now);
    });
  }
}
