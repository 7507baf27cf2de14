"""Tests of expanding templates and of changing documents."""

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
    """Expanding templates with parameters."""

    def test_repeats_for_each_account(self) -> None:
        """The per-account part is repeated with each account's parameters."""
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
        """The path of a fault refers to the template, not to the document."""
        template = copy.deepcopy(TEMPLATE)
        section, index, field = path
        template[part][section][index][field] = value
        expansion = expand(template, BOUND)
        assert expansion.cfg is None
        assert expected in {str(one).split(':')[0] for one in expansion.faults}

    def test_all_faults_at_once(self) -> None:
        """All faults are reported at once."""
        template = copy.deepcopy(TEMPLATE)
        template['fixed']['pools'][0]['kind'] = 'x'
        template['fixed']['zones'][0]['out'] = 'yes'
        assert len(expand(template, BOUND).faults) >= 2

    def test_repeated_account(self) -> None:
        """Two accounts with the same name are a fault."""
        first = BOUND['accounts'][0]
        twice = {'accounts': [first, first]}
        assert expand(TEMPLATE, twice).cfg is None


class TestOperations:
    """Operators' changes are carried over to a new expansion."""

    def test_keys_and_zones_stay(self) -> None:
        """Granted and withdrawn keys and zones taken out are carried over."""
        expanded = expand(TEMPLATE, BOUND).document
        current = grant_key(expanded, 'a', 'granted')
        current = withdraw_key(current, 'd-b') or {}
        current = set_zone_out(current, 'z1', out=True) or {}
        merged = keep_operator_changes(expanded, current)
        keys = {key['digest']: key for key in merged['keys']}
        assert 'granted' in keys
        assert keys['d-b']['withdrawn']
        assert merged['zones'][0]['out']

    def test_keys_of_removed_accounts_go(self) -> None:
        """A key of an account that was removed is not carried over."""
        expanded = expand(TEMPLATE, BOUND).document
        current = grant_key(expanded, 'a', 'granted')
        only_b = {'accounts': BOUND['accounts'][1:]}
        merged = keep_operator_changes(
            expand(TEMPLATE, only_b).document, current
        )
        assert all(key['account'] == 'b' for key in merged['keys'])

    @pytest.mark.parametrize('name', ['nope', 'd-'])
    def test_ambiguous_or_unknown_key(self, name: str) -> None:
        """A digest prefix that matches no key or several is refused."""
        assert withdraw_key(expand(TEMPLATE, BOUND).document, name) is None

    def test_unknown_zone(self) -> None:
        """An unknown zone cannot be taken out."""
        assert set_zone_out({'zones': []}, 'z9', out=True) is None
