/** The users' sites as the brief gives them: zones, machines, delays, services and mixes. */
import { parseServiceRow, type ServiceRow } from '../src/configuration/service-row.js';
import { ValidationError } from '../src/errors/index.js';

/** One kind of completion that callers send. */
export interface WorkloadClass {
  readonly service: string;
  /** Mean prompt and output lengths. Tokens. */
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** A site. */
export interface SiteProfile {
  readonly name: string;
  readonly zones: readonly string[];
  /** Model servers and application servers in the site, spread over the zones in turn. */
  readonly engines: number;
  readonly applications: number;
  /** One-way delay between zones. Milliseconds. */
  readonly zoneDelayMs: number;
  readonly model: string;
  readonly services: readonly ServiceRow[];
  /** Long work with few output tokens, and short work. */
  readonly longWork: WorkloadClass;
  readonly shortWork: WorkloadClass;
  /**
   * What a role change costs this site, beyond the engine time; the one setting in which the sites differ.
   */
  readonly roleChangeCostSeconds: number;
}

function row(value: Partial<ServiceRow> & { name: string }): ServiceRow {
  return parseServiceRow(value);
}

const CUNDINAMARCA: SiteProfile = {
  name: 'cundinamarca',
  zones: ['usaquen', 'engativa', 'bosa', 'teusaquillo'],
  engines: 8,
  applications: 4,
  zoneDelayMs: 1.5,
  model: 'underwriting',
  services: [
    row({
      name: 'risk-grade',
      model: 'underwriting',
      adapter: 'grading',
      weight: 3,
      priority: 2,
      firstTokenTargetMs: 2500,
      maximumWaitMs: 2000,
    }),
    row({
      name: 'crop-eligibility',
      model: 'underwriting',
      weight: 1,
      priority: 1,
      firstTokenTargetMs: 1000,
      maximumWaitMs: 800,
    }),
    row({ name: 'payment-notice', kind: 'application', repeatable: false }),
    row({ name: 'quote-receipt', kind: 'application', repeatable: false }),
  ],
  longWork: { service: 'risk-grade', promptTokens: 6000, outputTokens: 40 },
  shortWork: { service: 'crop-eligibility', promptTokens: 250, outputTokens: 180 },
  roleChangeCostSeconds: 5,
};

const TRUST_TT_NORTH: SiteProfile = {
  name: 'trust-tt-north',
  zones: ['pos-a', 'chag-b', 'arima-c'],
  engines: 13,
  applications: 3,
  zoneDelayMs: 0.5,
  model: 'quoting',
  services: [
    row({
      name: 'policy-review',
      model: 'quoting',
      adapter: 'wording',
      weight: 2,
      priority: 1,
      firstTokenTargetMs: 2500,
      maximumWaitMs: 2000,
    }),
    row({
      name: 'eligibility',
      model: 'quoting',
      weight: 1,
      priority: 5,
      firstTokenTargetMs: 1000,
      maximumWaitMs: 800,
    }),
    row({ name: 'document-fetch', kind: 'application', repeatable: true }),
    row({ name: 'confirmation', kind: 'application', repeatable: false }),
  ],
  longWork: { service: 'policy-review', promptTokens: 4000, outputTokens: 120 },
  shortWork: { service: 'eligibility', promptTokens: 200, outputTokens: 160 },
  roleChangeCostSeconds: 40,
};

/** All sites by name. */
const SITE_PROFILES: Readonly<Record<string, SiteProfile>> = {
  [CUNDINAMARCA.name]: CUNDINAMARCA,
  [TRUST_TT_NORTH.name]: TRUST_TT_NORTH,
};

/**
 * A site by name.
 * @throws ValidationError naming the known sites.
 */
export function getSiteProfile(name: string): SiteProfile {
  const profile = SITE_PROFILES[name];
  if (!profile) throw new ValidationError('site', `must be one of: ${Object.keys(SITE_PROFILES).join(', ')}`);
  return profile;
}
