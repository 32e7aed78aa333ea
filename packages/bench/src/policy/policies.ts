import {
  chooseEndpoint,
  type ChoiceOptions,
  type ChoiceRequest,
  type EndpointView,
} from '@marjorampin/routing';

/** A way to choose the endpoint of a call. */
export abstract class Policy {
  abstract readonly name: string;

  /** Whether calls that may wait are refused early under load. */
  readonly usesAdmission: boolean = false;

  /** Whether the engines get the calls' priorities. */
  readonly usesPriority: boolean = false;

  /** Chooses among the available endpoints. */
  abstract choose(views: EndpointView[], request: ChoiceRequest): EndpointView | undefined;
}

/** Each endpoint in turn. */
export class RoundRobin extends Policy {
  override readonly name = 'round robin';

  private next = 0;

  override choose(views: EndpointView[]): EndpointView | undefined {
    this.next += 1;
    return views[this.next % views.length];
  }
}

/** The endpoint with the fewest calls as reported, own sends included. */
export class LeastLoaded extends Policy {
  override readonly name = 'least loaded';

  override choose(views: EndpointView[]): EndpointView | undefined {
    const loadOf = ({ load, sentSinceReport }: EndpointView) =>
      load.running + load.queued + sentSinceReport;
    return [...views].sort((a, b) => loadOf(a) - loadOf(b))[0];
  }
}

/** The endpoint of the program's first call for as long as it is there. */
export class StickyOnly extends Policy {
  override readonly name = 'sticky only';

  private readonly fallback = new LeastLoaded();

  override choose(views: EndpointView[], request: ChoiceRequest): EndpointView | undefined {
    const warm = views.find(({ endpoint }) => endpoint.id === request.warmEndpoint);
    return warm ?? this.fallback.choose(views);
  }
}

/** The product's choice, with parts left out for an ablation. */
export class ProductPolicy extends Policy {
  override readonly name: string;

  override readonly usesAdmission: boolean;

  override readonly usesPriority: boolean;

  private readonly options: ChoiceOptions;

  constructor({
    name = 'marjorampin',
    usesAdmission = true,
    usesPriority = true,
    ...options
  }: ChoiceOptions & { name?: string; usesAdmission?: boolean; usesPriority?: boolean } = {}) {
    super();
    this.name = name;
    this.usesAdmission = usesAdmission;
    this.usesPriority = usesPriority;
    this.options = options;
  }

  override choose(views: EndpointView[], request: ChoiceRequest): EndpointView | undefined {
    return chooseEndpoint(views, request, this.options);
  }
}
