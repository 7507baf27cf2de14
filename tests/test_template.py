"""Tests of templates and of reading documents."""

import copy
from typing import Any

import pytest
from lovagemast_core import (
    Priority,
    expand,
    grant_key,
    keep_operator_changes,
    set_zone_out,
    withdraw_key,
)

TEMPLATE: dict[str, Any] = {
    'template': 't',
    'fixed': {
        'zones': [{'name': 'z1'}, {'name': 'z2'}],
        'pools': [{'name': 'lm', 'kind': 'engine', 'base': 'm'}],
        'routes': [
            {
                'name': 'r',
                'prefix': '/v1/',
                'pool': 'lm',
                'priority': 'interactive',
            },
        ],
    },
    'per_account': {
        'accounts': [
            {
                'name': '${account}',
                'rate_tokens_s': '${rate}',
                'burst_tokens': 100,
                'adapters': ['${account}-*'],
            },
        ],
        'keys': [{'account': '${account}', 'digest': 'd-${account}'}],
    },
}
BOUND: dict[str, Any] = {
    'accounts': [{'account': 'a', 'rate': 5}, {'account': 'b', 'rate': 7.5}],
}


class TestExpand:
    """Templates with parameters."""

    def test_repeats_for_each_account(self) -> None:
        """Each account gets its own members with its own parameters."""
        expansion = expand(TEMPLATE, BOUND)
        assert expansion.cfg
        accounts = expansion.cfg.accounts
        assert [account.rate_tokens_s for account in accounts] == [5, 7.5]
        assert accounts[0].may_use('a-x')
        assert not accounts[0].may_use('b-x')
        assert expansion.cfg.routes[0].priority is Priority.INTERACTIVE

    @pytest.mark.parametrize(
        ('part', 'path', 'value', 'expected'),
        [
            ('fixed', ('pools', 0, 'kind'), 'x', 'fixed.pools[0].kind'),
            ('fixed', ('routes', 0, 'pool'), 'no', 'fixed.routes[0].pool'),
            (
                'per_account',
                ('accounts', 0, 'burst_tokens'),
                -1,
                'per_account.accounts[0].burst_tokens',
            ),
            (
                'per_account',
                ('accounts', 0, 'rate_tokens_s'),
                '${missing}',
                'per_account.accounts[0].rate_tokens_s',
            ),
            (
                'per_account',
                ('accounts', 0, 'unknown'),
                1,
                'per_account.accounts[0].unknown',
            ),
        ],
    )
    def test_faults_lead_into_the_template(
        self,
        part: str,
        path: tuple[str, int, str],
        value: object,
        expected: str,
    ) -> None:
        """A fault names the place in the template that it comes from."""
        template = copy.deepcopy(TEMPLATE)
        section, index, field = path
        template[part][section][index][field] = value
        expansion = expand(template, BOUND)
        assert expansion.cfg is None
        assert expected in {str(one).split(':')[0] for one in expansion.faults}

    def test_all_faults_at_once(self) -> None:
        """Faults in several places are reported together."""
        template = copy.deepcopy(TEMPLATE)
        template['fixed']['pools'][0]['kind'] = 'x'
        template['fixed']['zones'][0]['out'] = 'yes'
        assert len(expand(template, BOUND).faults) >= 2

    def test_repeated_account(self) -> None:
        """Two accounts of one name are a fault."""
        first = BOUND['accounts'][0]
        twice = {'accounts': [first, first]}
        assert expand(TEMPLATE, twice).cfg is None


class TestOperations:
    """What operators did by hand survives a new expansion."""

    def test_keys_and_zones_stay(self) -> None:
        """Granted and withdrawn keys and zones taken out are kept."""
        fresh = expand(TEMPLATE, BOUND).document
        current = grant_key(fresh, 'a', 'granted')
        current = withdraw_key(current, 'd-b') or {}
        current = set_zone_out(current, 'z1', out=True) or {}
        merged = keep_operator_changes(fresh, current)
        keys = {key['digest']: key for key in merged['keys']}
        assert 'granted' in keys
        assert keys['d-b']['withdrawn']
        assert merged['zones'][0]['out']

    def test_keys_of_removed_accounts_go(self) -> None:
        """A key whose account has gone is not kept."""
        fresh = expand(TEMPLATE, BOUND).document
        current = grant_key(fresh, 'a', 'granted')
        only_b = {'accounts': BOUND['accounts'][1:]}
        merged = keep_operator_changes(
            expand(TEMPLATE, only_b).document, current
        )
        assert all(key['account'] == 'b' for key in merged['keys'])

    @pytest.mark.parametrize('name', ['nope', 'd-'])
    def test_ambiguous_or_unknown_key(self, name: str) -> None:
        """A digest that fits no key or several is refused."""
        assert withdraw_key(expand(TEMPLATE, BOUND).document, name) is None

    def test_unknown_zone(self) -> None:
        """A zone that is not there cannot be taken out."""
        assert set_zone_out({'zones': []}, 'z9', out=True) is None
